package ctl

import (
	"net/netip"
	"strings"

	"github.com/pkg/errors"
)

// addresses is a flag with a list of IP addresses and ports.
type addresses []netip.AddrPort

// String returns the list as it is written on the command line.
func (a *addresses) String() string {
	texts := make([]string, 0, len(*a))
	for _, address := range *a {
		texts = append(texts, address.String())
	}
	return strings.Join(texts, ",")
}

// Set reads a list separated by commas. It replaces an earlier one.
func (a *addresses) Set(value string) error {
	*a = nil
	for _, text := range strings.Split(value, ",") {
		address, err := netip.ParseAddrPort(strings.TrimSpace(text))
		if err != nil {
			return errors.Errorf("%q is no IP address with port, such as 127.0.0.1:7001", text)
		}
		*a = append(*a, address)
	}
	return nil
}
