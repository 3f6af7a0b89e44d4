package assembly

import (
	"crypto/tls"
	"time"

	"github.com/chicoryrock/chicoryrock/internal/ops/event"
	"github.com/chicoryrock/chicoryrock/internal/ops/settings"
	"github.com/chicoryrock/chicoryrock/internal/serve/secure"
)

// secrets is the TLS configuration of each kind of connection; all are nil under
// the setting -plain.
type secrets struct {
	callers     *tls.Config // callers to an entry
	acceptPeers *tls.Config // entries and agents to an entry's peer address
	acceptCalls *tls.Config // entries to an agent
	dialPeers   *tls.Config
	dialAgents  *tls.Config
}

func loadSecrets(common *settings.Common, log *event.Log) (*secrets, error) {
	loaded := &secrets{}
	if common.Plain {
		return loaded, nil
	}
	files := secure.Files{Cert: common.Cert, Key: common.Secret, CA: common.CA, Clock: time.Now, Log: log}
	var err error
	if loaded.acceptPeers, err = files.Accept(secure.RoleEntry, secure.RoleAgent, secure.RoleCtl); err != nil {
		return nil, err
	}
	if loaded.acceptCalls, err = files.Accept(secure.RoleEntry); err != nil {
		return nil, err
	}
	if loaded.dialPeers, err = files.Dial(secure.RoleEntry); err != nil {
		return nil, err
	}
	if loaded.dialAgents, err = files.Dial(secure.RoleAgent); err != nil {
		return nil, err
	}
	return loaded, nil
}

func loadEntrySecrets(config *settings.Entry, log *event.Log) (*secrets, error) {
	loaded, err := loadSecrets(&config.Common, log)
	if err != nil || config.Plain {
		return loaded, err
	}
	files := secure.Files{Cert: config.CallerCert, Key: config.CallerKey, Clock: time.Now, Log: log}
	loaded.callers, err = files.Callers()
	return loaded, err
}
