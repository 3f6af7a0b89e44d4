package soak

import (
	"bytes"
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/chicoryrock/chicoryrock/platform/sample"
)

const (
	// versionField begins the line of an event that names the software that wrote it.
	versionField = "event: "
	// takeUps is how often a caller takes a stream up again.
	takeUps = 4
)

// versions says whether this run's fronts heed software versions: those of former builds
// don't.
func versions() bool { return limits() }

// renew starts an engine again at its address, under another ID and version. The first two
// are of both versions all the time.
func (w *world) renew() {
	if !versions() {
		return
	}
	s, version := w.engines[2+w.random.IntN(len(w.engines)-2)], softwareVersions[w.random.IntN(firstNewer)]
	if !s.mayChange() {
		return
	}
	s.proxy.reset()
	s.start(version, s.get().weights)
	w.pending.Go(func() { w.enter(s) })
}

// readSome reads an answer; every third stream that may be taken up only in part.
func readSome(response *http.Response, kind, id string) (string, error) {
	sum := fnv.New32()
	_, _ = io.WriteString(sum, id)
	if kind != "long" || sum.Sum32()%3 > 0 || response.StatusCode != http.StatusOK || !versions() {
		body, err := io.ReadAll(response.Body)
		return string(body), err
	}
	var body bytes.Buffer
	piece := make([]byte, 1)
	for left := 2 + sum.Sum32()/3%5; left > 0; {
		if _, err := response.Body.Read(piece); err != nil {
			return body.String(), err
		}
		body.Write(piece)
		if bytes.HasSuffix(body.Bytes(), []byte("\n\n")) {
			left--
		}
	}
	return body.String(), io.ErrUnexpectedEOF
}

// takeUp goes on with a stream that broke off at the front where it began, at any front, until it
// is whole.
func (w *world) takeUp(client *http.Client, began int, one *got) {
	if one.status == http.StatusOK && !one.pieces[0].ofOneStream() {
		return // checkStream finds it
	}
	tried, wentOn := false, false
	defer func() {
		if tried {
			w.takenUp(began, *one, wentOn)
		}
	}()
	for try := 0; try < takeUps && one.status == http.StatusOK && !one.whole; try++ {
		if one.body = wholeEvents(one.body); one.body == "" {
			return
		}
		after := strings.Count(one.body, "\n\n")
		front := rand.IntN(len(w.fronts))
		request, err := http.NewRequest(http.MethodPost, "http://"+w.fronts[front].callers.String()+"/long/", strings.NewReader("body"))
		if err != nil {
			return
		}
		request.GetBody = nil
		request.Host = sample.Host
		for name, value := range map[string]string{
			sample.ID: fmt.Sprintf("%s/%d/%d", one.id, try, front), "Authorization": "Bearer " + key, sample.Patience: "4000", sample.Tokens: "600,40",
			sample.Parts: "a1:200,b2:400", sample.Model: model, "Last-Event-Id": fmt.Sprint(after), sample.Resumes: one.id,
		} {
			request.Header.Set(name, value)
		}
		time.Sleep(rand.N(300 * time.Millisecond))
		tried = true
		response, err := client.Do(request)
		if err != nil {
			w.taken.tried(false)
			continue
		}
		body, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		w.checkAnswer(response, request.Header.Get(sample.ID))
		next := piece{request.Header.Get(sample.ID), after, response.StatusCode, string(body), err == nil, time.Now()}
		one.pieces = append(one.pieces, next)
		w.taken.tried(next.status == http.StatusOK && next.ofOneStream())
		if next.status != http.StatusOK {
			continue
		}
		if !next.ofOneStream() {
			return
		}
		wentOn = true
		one.body += next.body
		one.whole = next.whole
	}
}

// wholeEvents returns a body up to the end of its last whole event.
func wholeEvents(body string) string {
	if at := strings.LastIndex(body, "\n\n"); at >= 0 {
		return body[:at+2]
	}
	return ""
}

// splitVersions returns a body without the lines that name software.
func splitVersions(body string) string {
	var rest strings.Builder
	for line := range strings.Lines(body) {
		if !strings.HasPrefix(line, versionField) {
			rest.WriteString(line)
		}
	}
	return rest.String()
}
