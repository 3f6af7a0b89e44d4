package metrics

import (
	"maps"
	"slices"
	"sync"
)

const (
	// valueNone stands for a value that was not known when the request ended.
	valueNone = "none"
	// valueOther stands for all values beyond the limit.
	valueOther = "other"
)

// limit lets the first few values of a label have series of their own and joins
// the rest. It is safe for concurrent use.
type limit struct {
	mutex sync.RWMutex
	size  int
	known map[string]struct{}
}

func newLimit(size int) *limit {
	return &limit{size: size, known: make(map[string]struct{})}
}

// value returns the label's value to use for name.
func (l *limit) value(name string) string {
	if name == "" {
		return valueNone
	}
	l.mutex.RLock()
	_, found := l.known[name]
	l.mutex.RUnlock()
	if found {
		return name
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if _, found := l.known[name]; !found && len(l.known) >= l.size {
		return valueOther
	}
	l.known[name] = struct{}{}
	return name
}

// names returns the values that have series of their own.
func (l *limit) names() []string {
	l.mutex.RLock()
	defer l.mutex.RUnlock()
	return slices.Collect(maps.Keys(l.known))
}

// remove forgets name.
func (l *limit) remove(name string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	delete(l.known, name)
}
