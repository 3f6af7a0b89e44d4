package secure

import (
	"crypto/tls"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// BenchmarkHandshake compares full with resumed handshakes of one caller that is
// balanced in turn over two servers: with a ticket key that both share, every
// connection after the first resumes; with a key each, none does.
func BenchmarkHandshake(b *testing.B) {
	cases := []struct {
		name    string
		servers int
		shared  bool
		tickets bool
	}{
		{"full", 2, false, false},
		{"resumed-one-server", 1, false, true},
		{"two-servers-shared-key", 2, true, true},
		{"two-servers-own-keys", 2, false, true},
	}
	for _, c := range cases {
		b.Run(c.name, func(b *testing.B) {
			ours, now := newAuthority(b), newClock().now
			own := files(b, ours, ours, spec("e1", RoleEntry), now)
			var addresses []string
			for i := range c.servers {
				callers, err := own.Callers()
				require.NoError(b, err)
				key := [32]byte{byte(i)}
				if c.shared {
					key = [32]byte{1}
				}
				callers.SetSessionTicketKeys([][32]byte{key})
				addresses = append(addresses, listen(b, callers))
			}
			pool, err := readAuthorities(own.CA)
			require.NoError(b, err)
			client := &tls.Config{RootCAs: pool, Time: now, ServerName: "127.0.0.1", MinVersion: tls.VersionTLS13}
			if c.tickets {
				client.ClientSessionCache = tls.NewLRUClientSessionCache(4)
			}
			resumed := 0
			before := processorTime(b)
			for i := 0; b.Loop(); i++ {
				connection, err := connect(addresses[i%c.servers], client)
				require.NoError(b, err)
				if connection.ConnectionState().DidResume {
					resumed++
				}
				require.NoError(b, connection.Close())
			}
			b.ReportMetric(float64(processorTime(b)-before)/float64(b.N), "cpu-ns/op")
			b.ReportMetric(float64(resumed)/float64(b.N), "resumed/op")
		})
	}
}

// processorTime returns what this process, both ends of each connection, has used.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	require.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
