package object

import (
	"bytes"
	"io"
	"io/fs"
	"path"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"go.yaml.in/yaml/v3"
)

// Limits on what is read. They keep a wrong folder, such as a home directory,
// from being read into memory whole.
const (
	maxFileBytes = 1 << 20
	maxFiles     = 4096
	maxObjects   = 65536
)

// Declared is a set as read from a folder, with the place of each object.
type Declared struct {
	Set     *Set
	Sources Sources
}

// Load reads every .yaml and .yml file of a folder and checks the whole set. It
// returns all faults at once. The set is fit for use only when there is none.
func Load(folder fs.FS) (*Declared, []Fault) {
	loader := &loader{folder: folder, declared: &Declared{Set: &Set{}, Sources: Sources{}}}
	loader.walk()
	declared := loader.declared
	if len(loader.faults) == 0 && loader.objects == 0 {
		loader.fault(".", 0, "", "The folder declares no object: name the folder that holds the declarations.")
	}
	faults := slices.Concat(loader.faults, Check(declared.Set, declared.Sources))
	sortFaults(faults)
	return declared, faults
}

type loader struct {
	folder   fs.FS
	declared *Declared
	faults   []Fault
	files    int
	objects  int
}

func (l *loader) fault(file string, line int, object, text string) {
	l.faults = append(l.faults, Fault{File: file, Line: line, Object: object, Text: text})
}

func (l *loader) walk() {
	err := fs.WalkDir(l.folder, ".", func(name string, entry fs.DirEntry, failure error) error {
		if failure == nil {
			return l.visit(name, entry)
		}
		// The walk goes on, so that the faults of all other files are found too.
		l.fault(name, 0, "", "The file or folder cannot be read: check that it exists and its permissions.")
		return nil
	})
	if err != nil {
		l.fault(".", 0, "", "The folder holds too many files or objects: split it, or name the right folder.")
	}
}

var errTooMany = errors.New("too many files or objects")

// visit reads one file. Names that begin with a dot belong to other tools, such
// as version control, and are passed over.
func (l *loader) visit(name string, entry fs.DirEntry) error {
	hidden := strings.HasPrefix(entry.Name(), ".") && name != "."
	if entry.IsDir() {
		if hidden {
			return fs.SkipDir
		}
		return nil
	}
	extension := path.Ext(name)
	if hidden || (extension != ".yaml" && extension != ".yml") {
		return nil
	}
	l.files++
	if l.files > maxFiles || l.objects > maxObjects {
		return errTooMany
	}
	if !entry.Type().IsRegular() {
		l.fault(name, 0, "", "This is no plain file: put the declarations themselves here in place of a link.")
		return nil
	}
	l.read(name)
	return nil
}

func (l *loader) read(name string) {
	file, err := l.folder.Open(name)
	if err != nil {
		l.fault(name, 0, "", "The file cannot be read: check its permissions.")
		return
	}
	defer func() { _ = file.Close() }() // nothing was written, so nothing can be lost
	content, err := io.ReadAll(io.LimitReader(file, maxFileBytes+1))
	if err != nil {
		l.fault(name, 0, "", "The file cannot be read: check its permissions.")
		return
	}
	if len(content) > maxFileBytes {
		l.fault(name, 0, "", "The file is larger than 1 MiB: split it.")
		return
	}
	l.parse(name, content)
}

func (l *loader) parse(name string, content []byte) {
	decoder := yaml.NewDecoder(bytes.NewReader(content))
	for {
		var node yaml.Node
		err := decoder.Decode(&node)
		if errors.Is(err, io.EOF) {
			return
		}
		if err != nil {
			l.fault(name, syntaxLine(err), "", "The text from here on is no valid YAML: check indentation, colons and quotes.")
			return
		}
		if len(node.Content) == 0 || isEmpty(node.Content[0]) {
			continue
		}
		l.objects++
		if l.objects > maxObjects {
			return
		}
		l.document(name, node.Content[0])
	}
}

func isEmpty(node *yaml.Node) bool {
	return node.Kind == yaml.ScalarNode && node.Tag == "!!null"
}

var linePattern = regexp.MustCompile(`line (\d+)`)

// syntaxLine takes the line out of the library's error. The rest of that error
// is not shown, because it can quote the file, and with it a key.
func syntaxLine(err error) int {
	found := linePattern.FindStringSubmatch(err.Error())
	if found == nil {
		return 1
	}
	line, err := strconv.Atoi(found[1])
	if err != nil {
		return 1
	}
	return line
}
