// Package metrics counts what a process does, for Prometheus. Every label takes
// its values from a closed or limited set, so that neither a caller nor an
// operator's typing error can make the number of series grow without bound.
package metrics

import (
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"github.com/chicoryrock/chicoryrock"
)

const (
	namespace = "chicoryrock"
	// maxScrapes is how many scrapes are answered at once.
	maxScrapes = 2
	// maxWorkspaces is how many workspaces have series of incidents of their own.
	maxWorkspaces = 64
	// maxNames is how many classes, pools, regions or duties have series of their own.
	maxNames = 64
)

// Ended is one request that has ended. Class and Workspace are empty when the
// request was refused before they were known.
type Ended struct {
	Class     string
	Workspace string
	Outcome   chicoryrock.Outcome
	Reason    chicoryrock.Reason
}

// Tokens is what one request used, in tokens. Wasted output is what no caller got
// or what came after the caller's deadline.
type Tokens struct {
	Prompt int
	Output int
	Wasted int
}

// Metrics is the series of one process. It is safe for concurrent use.
type Metrics struct {
	registry *prometheus.Registry
	clock    func() time.Time

	workspaces *limit
	classes    *limit
	pools      *limit
	regions    *limit
	duties     *limit

	requests  *prometheus.CounterVec
	incidents *prometheus.CounterVec
	verdicts  *prometheus.CounterVec
	goals     *prometheus.GaugeVec
	first     *prometheus.HistogramVec
	gap       *prometheus.HistogramVec
	queue     *prometheus.GaugeVec
	running   *prometheus.GaugeVec
	tokens    *prometheus.CounterVec
	across    *prometheus.CounterVec
	retries   *prometheus.CounterVec
	foreign   *prometheus.CounterVec
	hedges    *prometheus.CounterVec
	hedgesWon *prometheus.CounterVec
	held      *prometheus.GaugeVec
	wait      *prometheus.HistogramVec
	budget    *prometheus.GaugeVec
	prompts   *prometheus.CounterVec
	calls     *prometheus.CounterVec
	windows   *prometheus.CounterVec
	reserved  *prometheus.GaugeVec
	noRoom    *prometheus.CounterVec
	servers   prometheus.Gauge
	callers   prometheus.Gauge
	revision  prometheus.Gauge

	confirmed atomic.Int64 // Unix time in nanoseconds; zero before the first configuration
}

// New returns the series of one process, all registered. The clock gives the
// present time when a scrape asks how old the configuration is.
func New(clock func() time.Time) *Metrics {
	m := &Metrics{
		registry:   prometheus.NewRegistry(),
		clock:      clock,
		workspaces: newLimit(maxWorkspaces),
		classes:    newLimit(maxNames),
		pools:      newLimit(maxNames),
		regions:    newLimit(maxNames),
		duties:     newLimit(maxNames),
	}
	m.define()
	m.registry.MustRegister(
		m.requests, m.incidents, m.verdicts, m.goals, m.first, m.gap, m.queue, m.running,
		m.tokens, m.across, m.retries, m.foreign, m.hedges, m.hedgesWon, m.held, m.wait, m.budget, m.prompts, m.calls, m.windows, m.reserved, m.noRoom, m.servers, m.callers, m.revision,
		prometheus.NewGaugeFunc(prometheus.GaugeOpts{
			Namespace: namespace,
			Name:      "configuration_age_seconds",
			Help:      "Time since the configuration was last confirmed to be the newest; -1 before the first one.",
		}, m.age),
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return m
}

// Handler answers scrapes.
func (m *Metrics) Handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes})
}

// Request counts a request that has ended. The workspace is a label of incidents
// only, which are rare and need someone to talk to that workspace. Everything else
// by workspace is asked of the reports, which send it when they are asked, and not
// with each scrape: at 570 workspaces it made a scrape a hundred times as large.
func (m *Metrics) Request(ended Ended) {
	m.requests.WithLabelValues(m.classes.value(ended.Class), string(ended.Outcome), ended.Reason.String()).Inc()
	switch {
	case ended.Reason == chicoryrock.ReasonSuspect || ended.Reason == chicoryrock.ReasonCrashPart || ended.Reason == chicoryrock.ReasonCrashRequest:
		m.incidents.WithLabelValues(m.workspaces.value(ended.Workspace), "suspect").Inc()
	case ended.Outcome == chicoryrock.OutcomeUnknown:
		m.incidents.WithLabelValues(m.workspaces.value(ended.Workspace), "unknown").Inc()
	}
}

// Verdict counts a request against its class's service level.
func (m *Metrics) Verdict(class string, good bool) {
	verdict := "bad"
	if good {
		verdict = "good"
	}
	m.verdicts.WithLabelValues(m.classes.value(class), verdict).Inc()
}

// Goal sets the share of a class's requests that should be good, from 0 to 1.
func (m *Metrics) Goal(class string, share float64) {
	m.goals.WithLabelValues(m.classes.value(class)).Set(share)
}

// First records the time from a request's arrival to its first token.
func (m *Metrics) First(class string, after time.Duration) {
	m.first.WithLabelValues(m.classes.value(class)).Observe(after.Seconds())
}

// Gap records the time between two tokens of an answer.
func (m *Metrics) Gap(class string, between time.Duration) {
	m.gap.WithLabelValues(m.classes.value(class)).Observe(between.Seconds())
}

// Queue sets how many requests wait for a pool in a tier.
func (m *Metrics) Queue(pool string, tier, length int) {
	m.queue.WithLabelValues(m.pools.value(pool), strconv.Itoa(tier)).Set(float64(length))
}

// Running sets how many requests run in a pool for this process.
func (m *Metrics) Running(pool string, count int) {
	m.running.WithLabelValues(m.pools.value(pool)).Set(float64(count))
}

// Used counts the tokens of a request.
func (m *Metrics) Used(class string, used Tokens) {
	class = m.classes.value(class)
	m.tokens.WithLabelValues(class, "prompt").Add(float64(used.Prompt))
	m.tokens.WithLabelValues(class, "output").Add(float64(used.Output))
	m.tokens.WithLabelValues(class, "wasted").Add(float64(used.Wasted))
}

// Across counts bytes sent over the link between two regions.
func (m *Metrics) Across(from, to string, bytes int64) {
	m.across.WithLabelValues(m.regions.value(from), m.regions.value(to)).Add(float64(bytes))
}

// Retry counts a request that is sent to another backend server.
func (m *Metrics) Retry(class string) {
	m.retries.WithLabelValues(m.classes.value(class)).Inc()
}

// Foreign counts an answer that is no part of its stream.
func (m *Metrics) Foreign(class string) {
	m.foreign.WithLabelValues(m.classes.value(class)).Inc()
}

// Hedge counts a request that is sent to a second backend server before the first has
// answered.
func (m *Metrics) Hedge(class string) {
	m.hedges.WithLabelValues(m.classes.value(class)).Inc()
}

// HedgeWon counts a hedged request that the second backend server answered.
func (m *Metrics) HedgeWon(class string) {
	m.hedgesWon.WithLabelValues(m.classes.value(class)).Inc()
}

// Wait records the time that a request waited before it was first given to a
// backend server.
func (m *Metrics) Wait(class string, waited time.Duration) {
	m.wait.WithLabelValues(m.classes.value(class)).Observe(waited.Seconds())
}

// Budget sets how many repeats a pool's requests have left here.
func (m *Metrics) Budget(pool string, left float64) {
	m.budget.WithLabelValues(m.pools.value(pool)).Set(left)
}

// Reserved sets how many bytes are held for callers by what they are used for.
func (m *Metrics) Reserved(kind string, bytes int64) {
	m.reserved.WithLabelValues(kind).Set(float64(bytes))
}

// Callers sets how many connections callers have.
func (m *Metrics) Callers(count int) { m.callers.Set(float64(count)) }

// NoRoom counts a use that has found no room, or that was closed to make room for others.
func (m *Metrics) NoRoom(kind string, closed bool) {
	outcome := "refused"
	if closed {
		outcome = "closed"
	}
	m.noRoom.WithLabelValues(kind, outcome).Inc()
}

// Prompt counts the tokens of a prompt as it is placed: those that its engine has to
// read, about, and those that it has in memory.
func (m *Metrics) Prompt(pool string, unread, kept int) {
	pool = m.pools.value(pool)
	m.prompts.WithLabelValues(pool, "unread").Add(float64(max(unread, 0)))
	m.prompts.WithLabelValues(pool, "kept").Add(float64(max(kept, 0)))
}

// Call counts a call to the platform's store. Kind is one of the few that there are.
func (m *Metrics) Call(kind string, failed bool) {
	outcome := "answered"
	if failed {
		outcome = "failed"
	}
	m.calls.WithLabelValues(kind, outcome).Inc()
}

// Window counts a usage window that this process reported, in time or late.
func (m *Metrics) Window(late bool) {
	outcome := "in_time"
	if late {
		outcome = "late"
	}
	m.windows.WithLabelValues(outcome).Inc()
}

// Servers sets how old the list of backend servers is.
func (m *Metrics) Servers(age time.Duration) { m.servers.Set(age.Seconds()) }

// Duty says whether this process holds a control duty.
func (m *Metrics) Duty(name string, held bool) {
	value := 0.0
	if held {
		value = 1
	}
	m.held.WithLabelValues(m.duties.value(name)).Set(value)
}

// Configuration sets the revision in force and when it was last confirmed to be
// the newest.
func (m *Metrics) Configuration(revision uint64, confirmed time.Time) {
	m.revision.Set(float64(revision))
	m.confirmed.Store(confirmed.UnixNano())
}

// Keep removes the series of workspaces that are no longer configured and frees
// their places among the limited number.
func (m *Metrics) Keep(configured func(workspace string) bool) {
	for _, workspace := range m.workspaces.names() {
		if workspace == valueNone || configured(workspace) {
			continue
		}
		m.workspaces.remove(workspace)
		m.incidents.DeletePartialMatch(prometheus.Labels{labelWorkspace: workspace})
	}
}

// age returns how old the configuration is, in seconds.
func (m *Metrics) age() float64 {
	confirmed := m.confirmed.Load()
	if confirmed == 0 {
		return -1
	}
	return m.clock().Sub(time.Unix(0, confirmed)).Seconds()
}
