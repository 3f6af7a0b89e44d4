package program

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/standin/host"
	"github.com/chicoryrock/chicoryrock/internal/standin/store"
	"github.com/chicoryrock/chicoryrock/platform"
	"github.com/chicoryrock/chicoryrock/platform/sample"
)

const (
	// crowdSize is the number of connections of a crowd.
	crowdSize = 200
	// crowdMemory bounds a front under a crowd, bytes. Without one it has some 24 MB.
	crowdMemory = 44 << 20
	// crowdFiles bounds its descriptors: the crowd's connections, one connection to a
	// server for each, and its own.
	crowdFiles = 2*crowdSize + 50
	// crowdBytes is what one connection of a crowd sends where its input has no end.
	crowdBytes = 1 << 20
	// crowdTime is how long a crowd stays.
	crowdTime = 4 * time.Second
)

// crowdHead begins a request of the crowd that is right so far.
const crowdHead = "POST /read/x HTTP/1.1\r\nHost: " + sample.Host + "\r\nAuthorization: Bearer k1\r\n" + sample.Patience + ": 8000\r\n"

// manyLines returns a request's head of legal size whose body doesn't come.
func manyLines(line func(i int) string) string {
	const legal, end = 16000, "Content-Length: 5\r\n\r\n"
	head := crowdHead
	for i := 0; ; i++ {
		next := line(i)
		if len(head)+len(next)+len(end) > legal {
			return head + end
		}
		head += next
	}
}

// Guards against callers that take a front its memory or its descriptors by what they send:
// it must live, stay below the bounds and serve the next caller.
func TestFrontOutlivesCrowds(t *testing.T) {
	pipelined := strings.Repeat(crowdHead+"Content-Length: 2\r\n\r\nhi", 20)
	cases := []struct{ name, first, again string }{
		{"many short lines", manyLines(func(i int) string { return fmt.Sprintf("%x:\r\n", i) }), ""},
		{"one name repeated", manyLines(func(int) string { return "a:\r\n" }), ""},
		{"odd lines", manyLines(func(i int) string { return fmt.Sprintf("!%d:\t\r\n", i%50) }), ""},
		{"head above the limit", crowdHead, "X-More: yes\r\n"},
		{"value without end", crowdHead + "X-More: ", "yes"},
		{"first line without end", "GET /read/", "abcdefgh"},
		{"empty lines without end", "", "\r\n"},
		{"empty lines behind a request", crowdHead + "Content-Length: 2\r\n\r\nhi", "\r\n"},
		{"pipelined requests whose answers are not read", "", pipelined},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			kept := &store.Server{Listen: host.Loopback()}
			require.NoError(t, kept.Start())
			t.Cleanup(kept.Close)
			client := &platform.Store{Address: kept.Addr()}
			put := func(key, value string) {
				_, err := client.Commit(t.Context(), []chicoryrock.Change{{Key: key, Value: []byte(value), Unconditional: true}})
				require.NoError(t, err)
			}
			put(platform.ConfigKey, sample.Config(1, "k1"))
			for i := range 3 {
				backend := httptest.NewServer(http.HandlerFunc(answerCrowd))
				t.Cleanup(backend.Close)
				put(platform.ServerPrefix+fmt.Sprintf("i-%d", i), sample.Entry("app", backend.Listener.Addr().(*net.TCPAddr).AddrPort(), "ready"))
			}
			callers, ready, command := realFront(t, kept.Addr(), fmt.Sprintf("limits: {memoryMb: %d, maxFds: %d}", crowdMemory>>20, crowdFiles))
			require.Eventually(t, func() bool { return isReady(ready) }, startLimit, 10*time.Millisecond)
			most := 0
			crowd(t, callers, c.first, c.again, func() {
				files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", command.Process.Pid))
				require.NoError(t, err)
				most = max(most, len(files))
			})
			t.Logf("%d MB, %d descriptors", peakMemory(t, command)>>20, most)
			require.Less(t, peakMemory(t, command), crowdMemory)
			require.Less(t, most, crowdFiles)
			require.Eventually(t, func() bool { return asksWell(callers) }, startLimit, 100*time.Millisecond)
		})
	}
}

// answerCrowd answers as a backend server, with some bytes.
func answerCrowd(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(sample.ID, r.Header.Get(sample.ID))
	w.Header().Set(sample.Seal, "s")
	_, _ = w.Write(bytes.Repeat([]byte("x"), 8<<10))
}

// crowd has its connections send their input for a while, without reading an answer. One
// that is closed comes again. Meanwhile it looks at the front again and again.
func crowd(t *testing.T, callers netip.AddrPort, first, again string, look func()) {
	end := time.Now().Add(crowdTime)
	var group sync.WaitGroup
	for range crowdSize {
		group.Go(func() {
			for time.Now().Before(end) {
				sendAgain(callers, first, again, end)
				time.Sleep(200 * time.Millisecond)
			}
		})
	}
	for time.Now().Before(end) {
		look()
		time.Sleep(20 * time.Millisecond)
	}
	group.Wait()
}

// sendAgain is one connection of a crowd.
func sendAgain(callers netip.AddrPort, first, again string, end time.Time) {
	conn, err := net.DialTimeout("tcp", callers.String(), time.Second)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.(*net.TCPConn).SetReadBuffer(4 << 10)
	_ = conn.SetDeadline(end)
	block := bytes.Repeat([]byte(again), 1+(16<<10)/max(len(again), 1))
	_, err = conn.Write([]byte(first))
	for sent := 0; err == nil && again != "" && sent < crowdBytes; sent += len(block) {
		_, err = conn.Write(block)
	}
	for err == nil && time.Now().Before(end) {
		time.Sleep(100 * time.Millisecond)
		_, err = conn.Write(nil)
	}
}

// asksWell sends an ordinary request, and says whether it was answered whole.
func asksWell(callers netip.AddrPort) bool {
	request, err := http.NewRequest(http.MethodPost, "http://"+callers.String()+"/read/x", strings.NewReader("hi"))
	if err != nil {
		return false
	}
	request.Host = sample.Host
	request.Header.Set(sample.ID, "ordinary")
	request.Header.Set("Authorization", "Bearer k1")
	request.Header.Set(sample.Patience, "8000")
	client := http.Client{Timeout: startLimit, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return err == nil && response.StatusCode == http.StatusOK && response.Header.Get(sample.Seal) != ""
}
