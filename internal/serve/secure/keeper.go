package secure

import (
	"crypto/tls"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock"
	"github.com/chicoryrock/chicoryrock/internal/ops/event"
)

// checkEvery is the shortest time between two looks at the files, so that a storm
// of connections does not become a storm of file reads.
const checkEvery = time.Second

// keeper holds a certificate and reads it again when its files have changed. It
// is safe for concurrent use.
type keeper struct {
	files Files

	mutex   sync.Mutex
	checked time.Time
	stamps  [2]os.FileInfo // of the certificate and of the key, when last read
	current *tls.Certificate
}

// keeper reads the pair for the first time.
func (f Files) keeper() (*keeper, error) {
	if f.Log == nil {
		f.Log = event.NewNop()
	}
	k := &keeper{files: f, checked: f.Clock()}
	stamps, err := k.stat()
	if err != nil {
		return nil, errors.Wrapf(chicoryrock.ErrInvalid, "read the certificate: %v", err)
	}
	current, err := tls.LoadX509KeyPair(f.Cert, f.Key)
	if err != nil {
		return nil, errors.Wrapf(chicoryrock.ErrInvalid, "read the certificate: %v", err)
	}
	k.stamps = stamps
	k.current = &current
	return k, nil
}

// certificate returns the certificate to show at now. When new files cannot be
// read or are no pair, for instance because only one of the two has been replaced
// yet, the old certificate stays in use.
func (k *keeper) certificate(now time.Time) *tls.Certificate {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if now.Sub(k.checked) < checkEvery {
		return k.current
	}
	k.checked = now
	// The stamps are taken before the files are read: a change between the two
	// shows as a further change at the next look.
	stamps, err := k.stat()
	if err == nil && same(stamps, k.stamps) {
		return k.current
	}
	k.reload(stamps, err)
	return k.current
}

func (k *keeper) reload(stamps [2]os.FileInfo, err error) {
	k.stamps = stamps
	var fresh tls.Certificate
	if err == nil {
		fresh, err = tls.LoadX509KeyPair(k.files.Cert, k.files.Key)
	}
	if err != nil {
		k.files.Log.Write(event.CertFailed, zap.String("file", k.files.Cert), zap.Error(err))
		return
	}
	k.current = &fresh
	k.files.Log.Write(event.CertTaken, zap.String("file", k.files.Cert), zap.Time("until", fresh.Leaf.NotAfter))
}

func (k *keeper) stat() (stamps [2]os.FileInfo, err error) {
	if stamps[0], err = os.Stat(k.files.Cert); err != nil {
		return stamps, err
	}
	stamps[1], err = os.Stat(k.files.Key)
	return stamps, err
}

// same reports whether neither file has changed between two looks.
func same(a, b [2]os.FileInfo) bool {
	for i := range a {
		if a[i] == nil || b[i] == nil || !os.SameFile(a[i], b[i]) {
			return false
		}
		if !a[i].ModTime().Equal(b[i].ModTime()) || a[i].Size() != b[i].Size() {
			return false
		}
	}
	return true
}
