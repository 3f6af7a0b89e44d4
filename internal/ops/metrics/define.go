package metrics

import (
	"github.com/prometheus/client_golang/prometheus"
)

// The names of the labels.
const (
	labelClass     = "class"
	labelWorkspace = "workspace"
	labelPool      = "pool"
)

// The upper bounds of the histograms' buckets, in seconds. They are closest
// together round the targets that classes usually have.
var (
	firstBuckets = []float64{0.025, 0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.8, 1.2, 2, 4, 8, 16, 32}
	gapBuckets   = []float64{0.005, 0.01, 0.02, 0.03, 0.04, 0.05, 0.06, 0.08, 0.1, 0.2, 0.4, 1}
)

// define creates all series but those that are computed at a scrape.
func (m *Metrics) define() {
	m.requests = counter("requests_total", "Requests that have ended.", labelClass, "outcome", "reason")
	m.incidents = counter("workspace_incidents_total", "Requests refused because they crash backend servers (suspect), or that ended with an unknown outcome.", labelWorkspace, "incident")
	m.verdicts = counter("objective_requests_total", "Requests judged against the class's service level.", labelClass, "verdict")
	m.goals = gauge("objective_goal_ratio", "Share of the class's requests that should be good.", labelClass)
	m.first = histogram("first_token_seconds", "Time from a request's arrival to its first token.", firstBuckets)
	m.gap = histogram("token_gap_seconds", "Time between two tokens of an answer.", gapBuckets)
	m.queue = gauge("queue_length", "Requests waiting for a backend server.", labelPool, "tier")
	m.running = gauge("running_requests", "Requests running on backend servers for this process.", labelPool)
	m.tokens = counter("tokens_total", "Tokens of requests; wasted ones are part of the output.", labelClass, "kind")
	m.across = counter("region_bytes_total", "Bytes sent over the link between regions.", "from", "to")
	m.retries = counter("retries_total", "Requests sent to another backend server after a failure.", labelClass)
	m.foreign = counter("foreign_answers_total", "Answers of backend servers that were no part of the stream that they were to begin or to go on with.", labelClass)
	m.hedges = counter("hedges_total", "Requests sent to a second backend server while the first had not answered.", labelClass)
	m.hedgesWon = counter("hedges_won_total", "Hedged requests that the second backend server answered.", labelClass)
	m.held = gauge("duty_held", "1 while this process holds the control duty.", "duty")
	m.wait = histogram("wait_seconds", "Time that a request waited before it was first given to a backend server.", firstBuckets)
	m.budget = gauge("retry_budget_left", "Repeats that a pool's requests have left in this process.", labelPool)
	m.prompts = counter("prompt_tokens_total", "Tokens of prompts as they are placed: unread ones are read by the engine, kept ones are in its memory, about.", labelPool, "kind")
	m.calls = counter("store_calls_total", "Calls to the platform's store.", "kind", "outcome")
	m.windows = counter("usage_windows_total", "Usage windows that this process reported.", "outcome")
	m.reserved = gauge("reserved_bytes", "Memory that is held for callers.", "kind")
	m.noRoom = counter("no_room_total", "Connections, requests and parts of answers that found no room, or made room for others.", "kind", "outcome")
	m.callers = prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: namespace,
		Name:      "caller_connections",
		Help:      "Connections that callers have open.",
	})
	m.servers = prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: namespace,
		Name:      "servers_age_seconds",
		Help:      "Time since the list of backend servers was last confirmed, by the store or by a peer that hears it.",
	})
	m.revision = prometheus.NewGauge(prometheus.GaugeOpts{
		Namespace: namespace,
		Name:      "configuration_revision",
		Help:      "Revision of the configuration in force.",
	})
}

func counter(name, help string, labels ...string) *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func gauge(name, help string, labels ...string) *prometheus.GaugeVec {
	return prometheus.NewGaugeVec(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, labels)
}

func histogram(name, help string, buckets []float64) *prometheus.HistogramVec {
	options := prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: buckets}
	return prometheus.NewHistogramVec(options, []string{labelClass})
}
