// Package event logs what happens as numbered events through zap. The catalogue
// of all events is docs/EVENTS.md.
package event

import (
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Event is one kind of occurrence. Its number never changes its meaning.
type Event struct {
	Number int
	Level  zapcore.Level
	Text   string
}

// Log writes numbered events.
type Log struct {
	Zap *zap.Logger
}

// NewNop returns a Log that writes nothing.
func NewNop() *Log { return &Log{Zap: zap.NewNop()} }

// Write logs one event with its fields.
func (l *Log) Write(event Event, fields ...zap.Field) {
	if checked := l.Zap.Check(event.Level, event.Text); checked != nil {
		checked.Write(append(fields, zap.Int("event", event.Number))...)
	}
}
