// Package object defines the named objects that operators keep in version
// control and publish: workspaces, keys, classes, routes and pools. They refer
// to one another by name.
package object

import (
	"time"
)

// Highest and lowest tier of a class. Tier 1 is served first.
const (
	TierFirst = 1
	TierLast  = 7
)

// Kind names one of the five kinds of object.
type Kind string

// The kinds of object, as written in the field "kind".
const (
	KindWorkspace Kind = "workspace"
	KindKey       Kind = "key"
	KindClass     Kind = "class"
	KindRoute     Kind = "route"
	KindPool      Kind = "pool"
)

// Workspace is one customer of the platform.
type Workspace struct {
	Name  string  `json:"name" yaml:"name"`
	Share float64 `json:"share" yaml:"share"`      // weight among the workspaces of a tier; 0 means 1
	Rate  float64 `json:"rate" yaml:"rate"`        // tokens per second over all entries; 0 means no limit
	Burst float64 `json:"burst" yaml:"burst"`      // tokens that may be used at once above the rate
	File  string  `json:"file,omitempty" yaml:"-"` // where the object is declared, below the folder
}

// Key gives a workspace access. Only the digest of the key is ever stored.
type Key struct {
	Name      string `json:"name" yaml:"name"`
	Workspace string `json:"workspace" yaml:"workspace"`
	Digest    string `json:"digest" yaml:"digest"`    // SHA-256 of the key, lower-case hex
	File      string `json:"file,omitempty" yaml:"-"` // where the object is declared, below the folder
}

// Class is a kind of traffic with its own service level.
type Class struct {
	Name  string        `json:"name" yaml:"name"`
	Tier  int           `json:"tier" yaml:"tier"`        // 1 is the highest
	First time.Duration `json:"first" yaml:"first"`      // target for the first token
	Token time.Duration `json:"token" yaml:"token"`      // target between tokens
	Goal  float64       `json:"goal" yaml:"goal"`        // share of requests that should meet the targets, e.g. 0.95
	Floor float64       `json:"floor" yaml:"floor"`      // share of a pool's slots that the class always gets
	File  string        `json:"file,omitempty" yaml:"-"` // where the object is declared, below the folder
}

// Route ties a model or a plain service to a class and to the pools that serve it.
// Exactly one of Model and Service is set. An empty Workspaces opens the route to all.
type Route struct {
	Name       string   `json:"name" yaml:"name"`
	Model      string   `json:"model,omitempty" yaml:"model"`
	Service    string   `json:"service,omitempty" yaml:"service"`
	Class      string   `json:"class" yaml:"class"`
	Pools      []string `json:"pools" yaml:"pools"` // in order of preference
	Workspaces []string `json:"workspaces,omitempty" yaml:"workspaces"`
	Repeat     bool     `json:"repeat" yaml:"repeat"`    // calls are idempotent and may run more than once
	File       string   `json:"file,omitempty" yaml:"-"` // where the object is declared, below the folder
}

// Pool is a group of like backend servers.
type Pool struct {
	Name  string        `json:"name" yaml:"name"`
	Model string        `json:"model,omitempty" yaml:"model"` // what the engines call the model; empty for a plain service
	Slots int           `json:"slots" yaml:"slots"`           // streams that one backend server runs at once
	Min   int           `json:"min" yaml:"min"`               // backend servers kept in each data centre
	Max   int           `json:"max" yaml:"max"`
	Start time.Duration `json:"start" yaml:"start"`      // from the order to the first request
	Cost  float64       `json:"cost" yaml:"cost"`        // money per backend server and hour
	Fence bool          `json:"fence" yaml:"fence"`      // the engines refuse orders with an old fencing number
	Save  bool          `json:"save" yaml:"save"`        // the engines can resume a stream
	File  string        `json:"file,omitempty" yaml:"-"` // where the object is declared, below the folder
}

// Withdrawal bars a key for good. It is made by withdrawing a key and never
// declared in a file, so that a folder from before the withdrawal, or a return to
// an older revision, cannot bring the key back.
type Withdrawal struct {
	Key       string `json:"key"` // the name it had
	Workspace string `json:"workspace"`
	Digest    string `json:"digest"`
}

// Set is one whole configuration.
type Set struct {
	Workspaces []Workspace  `json:"workspaces,omitempty"`
	Keys       []Key        `json:"keys,omitempty"`
	Classes    []Class      `json:"classes,omitempty"`
	Routes     []Route      `json:"routes,omitempty"`
	Pools      []Pool       `json:"pools,omitempty"`
	Withdrawn  []Withdrawal `json:"withdrawn,omitempty"`
}
