package soak

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

// earlyReset is the fault of a server that answers an upload before it has read it, without a
// length, and resets the connection within its answer.
const earlyReset = "a reset under an upload"

// uploadBytes is the length of an upload: more than what the kernel takes of one that isn't read.
const uploadBytes = 10 << 20

// uploads says whether a request has a long body.
func uploads(id string) bool {
	sum := fnv.New32()
	_, _ = io.WriteString(sum, "upload"+id)
	return sum.Sum32()%16 == 0
}

// roomy lets callers send uploads.
func roomy(config string) string {
	return strings.Replace(config, `"maxBodyBytes":10000`, fmt.Sprintf(`"maxBodyBytes":%d`, uploadBytes), 1)
}

// resetEarly answers every other upload to a server of app with earlyReset, and says whether it has.
func (w *world) resetEarly(self, id string, rw http.ResponseWriter, r *http.Request) bool {
	w.mutex.Lock()
	sum := fnv.New64()
	_, _ = fmt.Fprint(sum, "early", id, w.runs[id])
	hasty := w.faulty && versions() && r.ContentLength == uploadBytes && rand.New(rand.NewPCG(w.seed, sum.Sum64())).IntN(2) == 0
	if hasty {
		w.runs[id]++
		w.note(self, id, "", 0, &fault{name: earlyReset})
	}
	w.mutex.Unlock()
	if !hasty {
		return false
	}
	conn, _, err := http.NewResponseController(rw).Hijack()
	if err != nil {
		return true
	}
	defer func() { _ = conn.Close() }()
	_, _ = io.WriteString(conn, (&asked{id: id}).ok("Connection: close")+id[:len(id)-1])
	time.Sleep(30 * time.Millisecond)
	abort(conn)
	return true
}
