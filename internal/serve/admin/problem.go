package admin

import (
	"encoding/json"
	"net/http"
)

// ProblemError is the answer of an admin route that has no value to give. It is an
// error, so that the asker can pass it on as it came.
type ProblemError struct {
	Status int    `json:"-"`    // HTTP status
	Text   string `json:"text"` // one sentence for the operator
}

// Error returns the sentence.
func (p *ProblemError) Error() string { return p.Text }

// Write sends the problem.
func (p *ProblemError) Write(w http.ResponseWriter) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(p.Status)
	// The asker may be gone already; nothing is left to tell it then.
	_ = json.NewEncoder(w).Encode(p)
}
