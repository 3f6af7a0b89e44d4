package retry

import "time"

// windowParts is how many parts a window is counted in. Repeats count for up to one part
// longer than the window, calls for up to one part less.
const windowParts = 20

// window counts the calls and the repeats of the last while, in parts of equal length. The
// zero value is empty.
type window struct {
	parts [windowParts + 1]struct{ calls, repeats float64 }
	at    int       // the present part
	until time.Time // its end
}

// advance starts the parts that have begun by now.
func (w *window) advance(now time.Time, length time.Duration) {
	part := length / windowParts
	if w.until.IsZero() || now.Sub(w.until) >= length+part {
		*w = window{until: now.Add(part)}
		return
	}
	for !now.Before(w.until) {
		w.at = (w.at + 1) % len(w.parts)
		w.parts[w.at].calls, w.parts[w.at].repeats = 0, 0
		w.until = w.until.Add(part)
	}
}

// calls returns the calls of the window.
func (w *window) calls() (sum float64) {
	oldest := (w.at + 1) % len(w.parts)
	for i := range w.parts {
		if i != oldest {
			sum += w.parts[i].calls
		}
	}
	return sum
}

// repeats returns the repeats of the window.
func (w *window) repeats() (sum float64) {
	for i := range w.parts {
		sum += w.parts[i].repeats
	}
	return sum
}
