package program

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/chicoryrock/chicoryrock"
)

// startLimit bounds the wait for a process to state its address. It is a safety
// net against a hung test, not a measure of speed.
const startLimit = 30 * time.Second

var (
	binaries string
	// A process of the system logs its address with event 101; a stand-in prints it
	// alone on a line.
	addressInLine = regexp.MustCompile(`(?:^|"address":")(127\.0\.0\.1:[1-9][0-9]*)(?:$|")`)
)

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the programs once, as a user would.
func buildAndRun(m *testing.M) int {
	folder, err := os.MkdirTemp("", "chicoryrock")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	binaries = folder
	build := exec.Command("go", "build", "-o", folder+"/", "../../../cmd/...")
	if output, err := build.CombinedOutput(); err != nil {
		panic(string(output))
	}
	return m.Run()
}

// builds are the folders that processes of the system are started from in turn, so
// that processes of two builds run side by side: those of TEST_BUILDS, separated by
// commas, or else the one that was just built. Stand-ins are always of the latter.
func builds() []string {
	if folders := os.Getenv("TEST_BUILDS"); folders != "" {
		return strings.Split(folders, ",")
	}
	return []string{binaries}
}

// started is the number of processes of the system started so far.
var started atomic.Int64

// programPath returns the file to start a program from.
func programPath(program string) string {
	if program != "chicoryrock" {
		return filepath.Join(binaries, program)
	}
	folders := builds()
	return filepath.Join(folders[int(started.Add(1)-1)%len(folders)], program)
}

// process is one program started by a test.
type process struct {
	t       *testing.T
	command *exec.Cmd
	address netip.AddrPort
}

// start runs a program and waits until it has printed the address it listens on.
func start(t *testing.T, program string, args ...string) *process {
	t.Helper()
	command := exec.Command(programPath(program), args...)
	reader, writer := io.Pipe()
	command.Stdout = writer
	command.Stderr = writer
	require.NoError(t, command.Start())
	p := &process{t: t, command: command}
	t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
		_ = writer.Close()
	})
	found := make(chan string, 1)
	go scanForAddress(t, reader, program, found)
	select {
	case text := <-found:
		p.address = netip.MustParseAddrPort(text)
	case <-time.After(startLimit):
		require.Fail(t, "no address printed", program)
	}
	return p
}

func scanForAddress(t *testing.T, reader io.Reader, program string, found chan<- string) {
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(nil, 1<<20)
	told := false
	for scanner.Scan() {
		line := scanner.Text()
		if match := addressInLine.FindStringSubmatch(line); match != nil && !told {
			told = true
			found <- match[1]
		}
		if os.Getenv("TEST_LOGS") != "" {
			t.Log(program, line)
		}
	}
}

func (p *process) url(path string) string { return "http://" + p.address.String() + path }

// post sends JSON and decodes the answer into output, which may be nil.
func (p *process) post(path string, input, output any) {
	p.t.Helper()
	data, err := json.Marshal(input)
	require.NoError(p.t, err)
	response, err := http.Post(p.url(path), "application/json", bytes.NewReader(data))
	require.NoError(p.t, err)
	defer func() { _ = response.Body.Close() }()
	require.Less(p.t, response.StatusCode, 300)
	if output != nil {
		require.NoError(p.t, json.NewDecoder(response.Body).Decode(output))
	}
}

// get decodes the answer to a GET.
func (p *process) get(path string, output any) {
	p.t.Helper()
	response, err := http.Get(p.url(path))
	require.NoError(p.t, err)
	defer func() { _ = response.Body.Close() }()
	require.Equal(p.t, http.StatusOK, response.StatusCode)
	require.NoError(p.t, json.NewDecoder(response.Body).Decode(output))
}

// eventually waits for a condition of another process.
func eventually(t *testing.T, condition func() bool, what string) {
	t.Helper()
	require.Eventually(t, condition, startLimit, 20*time.Millisecond, what)
}

// vmsOf describes agents to the list of VMs.
func vmOf(name, pool string, agent *process) chicoryrock.VM {
	return chicoryrock.VM{
		Name: name, Role: "agent", Pool: pool, Centre: "jamalpur", Region: "ahmedabad",
		Address: agent.address, State: chicoryrock.VMLive,
	}
}
