package settings

import (
	"flag"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/chicoryrock/chicoryrock"
)

// Prefix begins the name of every environment variable of the system.
const Prefix = "CHICORYROCK_"

// FaultErrors is every fault found in a program's settings, one sentence each. It
// matches chicoryrock.ErrInvalid.
type FaultErrors []string

// Error lists all faults, one a line.
func (f FaultErrors) Error() string { return strings.Join(f, "\n") }

// Is reports whether target is chicoryrock.ErrInvalid.
func (f FaultErrors) Is(target error) bool { return target == chicoryrock.ErrInvalid }

// parser collects the settings of one program. A bad value is recorded rather
// than returned, so that the flag package goes on to the values after it and the
// operator sees all faults at once.
type parser struct {
	program string
	flags   *flag.FlagSet
	options []*option
	faults  FaultErrors
}

// option is one setting. It implements flag.Value.
type option struct {
	parser   *parser
	name     string
	unit     string // what the value is, as shown by -h
	usage    string
	fallback string // the default, as shown by -h
	boolean  bool
	bad      bool // the value could not be read, so that later checks pass over it
	parse    func(text string) error
}

func newParser(program string) *parser {
	p := &parser{program: program, flags: flag.NewFlagSet(program, flag.ContinueOnError)}
	p.flags.SetOutput(io.Discard)
	p.flags.Usage = func() {}
	return p
}

// String returns the default.
func (o *option) String() string { return o.fallback }

// IsBoolFlag tells the flag package that the value may be left out.
func (o *option) IsBoolFlag() bool { return o.boolean }

// Set reads a value and records a fault when it cannot be read.
func (o *option) Set(text string) error {
	if err := o.parse(text); err != nil {
		o.bad = true
		o.faultf("%q is no %s: %v", text, o.unit, err)
	}
	return nil
}

// variable returns the name of the option's environment variable.
func (o *option) variable() string { return Prefix + strings.ToUpper(o.name) }

// faultf records one sentence under the option's flag and variable.
func (o *option) faultf(format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	o.parser.faults = append(o.parser.faults, fmt.Sprintf("-%s (%s): %s", o.name, o.variable(), text))
}

func (p *parser) add(o *option) *option {
	o.parser = p
	p.options = append(p.options, o)
	p.flags.Var(o, o.name, o.usage)
	return o
}

func (p *parser) text(target *string, name, unit, usage string) *option {
	parse := func(text string) error {
		*target = text
		return nil
	}
	return p.add(&option{name: name, unit: unit, usage: usage, fallback: *target, parse: parse})
}

func (p *parser) boolean(target *bool, name, usage string) *option {
	parse := func(text string) (err error) {
		*target, err = strconv.ParseBool(text)
		return err
	}
	fallback := strconv.FormatBool(*target)
	return p.add(&option{name: name, unit: "true or false", usage: usage, fallback: fallback, boolean: true, parse: parse})
}

func (p *parser) integer(target *int64, name, unit, usage string) *option {
	parse := func(text string) (err error) {
		*target, err = strconv.ParseInt(text, 10, 64)
		return err
	}
	fallback := strconv.FormatInt(*target, 10)
	return p.add(&option{name: name, unit: unit, usage: usage, fallback: fallback, parse: parse})
}

func (p *parser) duration(target *time.Duration, name, usage string) *option {
	parse := func(text string) (err error) {
		*target, err = time.ParseDuration(text)
		return err
	}
	return p.add(&option{name: name, unit: "duration such as 90s", usage: usage, fallback: target.String(), parse: parse})
}

func (p *parser) address(target *netip.AddrPort, name, usage string) *option {
	parse := func(text string) (err error) {
		*target, err = netip.ParseAddrPort(text)
		return err
	}
	return p.add(&option{name: name, unit: "IP:port", usage: usage, parse: parse})
}

func (p *parser) addresses(target *[]netip.AddrPort, name, usage string) *option {
	parse := func(text string) error {
		var list []netip.AddrPort
		for part := range strings.SplitSeq(text, ",") {
			address, err := netip.ParseAddrPort(strings.TrimSpace(part))
			if err != nil {
				return err
			}
			list = append(list, address)
		}
		*target = list
		return nil
	}
	return p.add(&option{name: name, unit: "IP:port,IP:port,...", usage: usage, parse: parse})
}

// read takes the flags and then the variables of options that no flag set. An
// empty variable counts as not set. Error: flag.ErrHelp, after printing the help.
func (p *parser) read(args, environ []string, out io.Writer) error {
	if err := p.readFlags(args); err != nil {
		return p.help(out, err)
	}
	given := map[string]bool{}
	p.flags.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for _, pair := range environ {
		name, value, _ := strings.Cut(pair, "=")
		if !strings.HasPrefix(name, Prefix) {
			continue
		}
		index := slices.IndexFunc(p.options, func(o *option) bool { return o.variable() == name })
		if index < 0 {
			p.faults = append(p.faults, fmt.Sprintf("%s: %s knows no such variable; remove it or mend its name", name, p.program))
			continue
		}
		if o := p.options[index]; value != "" && !given[o.name] {
			_ = o.Set(value) // Set records its faults itself.
		}
	}
	return nil
}

// readFlags goes on after an unknown flag or a stray argument, which the flag
// package stops at, so that the faults after it are found too.
func (p *parser) readFlags(args []string) error {
	for {
		err := p.flags.Parse(args)
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		args = p.flags.Args()
		if err != nil {
			p.faults = append(p.faults, err.Error())
			continue
		}
		if len(args) == 0 {
			return nil
		}
		p.faults = append(p.faults, fmt.Sprintf("%q: no argument is expected here", args[0]))
		args = args[1:]
	}
}

// help prints every setting with its unit, default and variable.
func (p *parser) help(out io.Writer, cause error) error {
	var text strings.Builder
	fmt.Fprintf(&text, "Settings of %s. A flag goes before its environment variable.\n", p.program)
	for _, o := range p.options {
		fallback := o.fallback
		if fallback == "" {
			fallback = "none"
		}
		fmt.Fprintf(&text, "\n  -%s  (%s)\n      %s\n      unit: %s; default: %s\n", o.name, o.variable(), o.usage, o.unit, fallback)
	}
	if _, err := io.WriteString(out, text.String()); err != nil {
		return errors.Wrap(err, "print the help")
	}
	return cause
}

// result returns the faults as an error, or nil when there are none.
func (p *parser) result() error {
	if len(p.faults) == 0 {
		return nil
	}
	return errors.WithStack(p.faults)
}
