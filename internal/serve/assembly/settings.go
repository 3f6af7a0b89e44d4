package assembly

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"

	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/platform"
)

// settingsInterval is how often the settings file is looked at.
const settingsInterval = 2 * time.Second

// reload takes in the settings again on SIGHUP, and when the file has changed
// without one. Settings with a fault leave those in force as they are.
func (p *Front) reload(ctx context.Context) error {
	hangup := p.Hangup
	if hangup == nil {
		own := make(chan os.Signal, 1)
		signal.Notify(own, syscall.SIGHUP)
		defer signal.Stop(own)
		hangup = own
	}
	ticker := time.NewTicker(settingsInterval)
	defer ticker.Stop()
	for {
		var why string
		select {
		case <-ctx.Done():
			return nil
		case <-hangup:
			why = "signal"
		case <-ticker.C:
			why = "file"
		}
		p.readSettings(why)
	}
}

// readSettings puts the settings' bounds in force. What a process listens on and
// where the platform is only a restart changes.
func (p *Front) readSettings(why string) {
	data, err := os.ReadFile(p.File)
	if err != nil {
		p.Log.Write(event.SettingsBad, zap.String("why", why), zap.Error(err))
		return
	}
	if bytes.Equal(data, p.read) {
		return
	}
	p.read = data
	node, err := platform.ReadNode(data)
	if err != nil {
		p.Log.Write(event.SettingsBad, zap.String("why", why), zap.Error(err))
		return
	}
	p.front.SetBounds(node.Bounds)
	p.Log.Write(event.SettingsRead, zap.String("why", why))
}
