package host

import (
	"encoding/json"
	"io"
	"net/http"
)

// MaxBody is the largest body that a stand-in reads, bytes.
const MaxBody = 64 << 20

// ReadJSON reads a request's body into value. On failure it answers with status
// 400 and returns false.
func ReadJSON(w http.ResponseWriter, r *http.Request, value any) bool {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxBody))
	if err == nil {
		err = json.Unmarshal(body, value)
	}
	if err != nil {
		WriteError(w, http.StatusBadRequest, err.Error())
		return false
	}
	return true
}

// WriteJSON answers with a status and a JSON value.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A client that has hung up is no concern of the stand-in.
	_ = json.NewEncoder(w).Encode(value)
}

// errorBody is the usual error object of model engines.
type errorBody struct {
	Error errorText `json:"error"`
}

type errorText struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    int    `json:"code"`
}

// WriteError answers with a status and the usual error body.
func WriteError(w http.ResponseWriter, status int, message string) {
	WriteJSON(w, status, errorBody{Error: errorText{Message: message, Type: http.StatusText(status), Code: status}})
}

// HangUp cuts the connection without a further byte. It does not return.
func HangUp() {
	panic(http.ErrAbortHandler)
}
