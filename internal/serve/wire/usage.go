package wire

import (
	"net/http"
	"strings"
)

// modelPath begins the paths of the model engines.
const modelPath = "/v1/"

// IsModelPath says whether a path is one of the model engines.
func IsModelPath(path string) bool { return strings.HasPrefix(path, modelPath) }

// WholeUsage returns what a whole answer, which is no stream, counts for in
// billing. Both ends of a request use it, so that they agree. An error is not
// billed, and a plain service's answer counts as a request without tokens.
func WholeUsage(path string, status int, body []byte) (usage Usage, billed bool) {
	if !IsModelPath(path) {
		return Usage{}, status < http.StatusInternalServerError
	}
	chunk, err := ParseChunk(body)
	if status != http.StatusOK || err != nil || len(chunk.Choices) == 0 {
		return Usage{}, false
	}
	if chunk.Usage != nil {
		usage = *chunk.Usage
	}
	return usage, true
}
