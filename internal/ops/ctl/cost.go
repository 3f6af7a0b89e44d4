package ctl

import (
	"context"
	"net/url"
	"time"

	"github.com/chicoryrock/chicoryrock/internal/ops/cost"
)

var costCommand = Command{
	Name:    "cost",
	Summary: "report what was paid for backend servers against the service they gave",
	Run:     runCost,
}

func runCost(ctx context.Context, env *Env, args []string) int {
	set := newFlags("cost")
	asJSON := set.Bool("json", false, "print JSON")
	period := set.Duration("period", cost.DefaultPeriod, "span that the report covers")
	var admin addresses
	set.Var(&admin, "admin", "admin addresses of the entries, separated by commas; needed")
	if _, code, goOn := parse(env, set, args, 0); !goOn {
		return code
	}
	if !expectAdmin(env, admin) || !expectPeriod(env, *period) {
		return ExitUsage
	}
	report, silent, err := askCost(ctx, env.Now(), admin, *period)
	if len(silent) == len(admin) {
		warnPartial(env, silent, len(admin))
		return ExitFailed
	}
	write := report.WriteTable
	if *asJSON {
		write = report.WriteJSON
	}
	_ = write(env.Out) // a closed pipe leaves nobody to tell
	warnPartial(env, silent, len(admin))
	return reportCode(env, silent, err)
}

// askCost merges the readings of the processes, with the prices of the newest
// configuration among them.
func askCost(ctx context.Context, now time.Time, admin addresses, period time.Duration) (*cost.Report, []string, error) {
	query := url.Values{"since": {now.Add(-period).Format(time.RFC3339)}}
	replies := askEach[cost.Reading](ctx, admin, question{"/cost", query, reportTimeout})
	terms := cost.Terms{Period: period}
	var book cost.Book
	var newest uint64
	for _, one := range replies {
		if one.err != nil {
			terms.Missing = append(terms.Missing, one.address.String())
			continue
		}
		book.Merge(one.value.Snapshot)
		if one.value.Revision >= newest {
			newest = one.value.Revision
			terms.Pools = one.value.Pools
		}
	}
	report, err := book.Report(now, terms)
	return report, missing(replies), err
}
