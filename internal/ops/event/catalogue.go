package event

import "go.uber.org/zap/zapcore"

// The events, by area: 1xx a process's life, 2xx configuration, 3xx requests,
// 4xx backend servers, 5xx control duties, 6xx usage. Each has a row in
// docs/EVENTS.md; a test holds the two together.
var (
	Started        = Event{101, zapcore.InfoLevel, "process started"}
	Ready          = Event{102, zapcore.InfoLevel, "process ready"}
	Draining       = Event{103, zapcore.InfoLevel, "graceful shutdown began"}
	Stopped        = Event{104, zapcore.InfoLevel, "process stopped"}
	CertTaken      = Event{105, zapcore.InfoLevel, "certificate read again"}
	CertFailed     = Event{106, zapcore.WarnLevel, "certificate could not be read again"}
	PartPanicked   = Event{107, zapcore.ErrorLevel, "part of the process panicked"}
	PartFailed     = Event{108, zapcore.WarnLevel, "part of the process starts again"}
	LibraryDebug   = Event{190, zapcore.DebugLevel, "message of a library"}
	LibraryInfo    = Event{191, zapcore.InfoLevel, "message of a library"}
	LibraryWarn    = Event{192, zapcore.WarnLevel, "warning of a library"}
	LibraryError   = Event{193, zapcore.ErrorLevel, "error of a library"}
	ConfigTaken    = Event{201, zapcore.InfoLevel, "configuration in force"}
	ConfigFailed   = Event{202, zapcore.WarnLevel, "configuration could not be read"}
	ConfigOlder    = Event{203, zapcore.ErrorLevel, "store answered an older configuration"}
	SettingsRead   = Event{204, zapcore.InfoLevel, "settings read"}
	SettingsBad    = Event{209, zapcore.ErrorLevel, "settings could not be read again"}
	ConfigBad      = Event{205, zapcore.ErrorLevel, "configuration makes no sense"}
	StoreLost      = Event{206, zapcore.WarnLevel, "store not reached"}
	StoreBack      = Event{207, zapcore.InfoLevel, "store reached again"}
	HistoryGone    = Event{208, zapcore.InfoLevel, "store dropped its history, everything is read again"}
	Restored       = Event{210, zapcore.WarnLevel, "store has come back from a copy"}
	Evacuating     = Event{211, zapcore.WarnLevel, "data centre is being evacuated, its backend servers get no requests"}
	EvacuationOver = Event{212, zapcore.InfoLevel, "evacuation of a data centre is over"}
	ConfigBehind   = Event{213, zapcore.InfoLevel, "newer configuration is known and not in force yet"}
	Refused        = Event{301, zapcore.InfoLevel, "request refused"}
	Failed         = Event{302, zapcore.WarnLevel, "request failed"}
	Panicked       = Event{303, zapcore.ErrorLevel, "handler panicked"}
	Accepted       = Event{304, zapcore.InfoLevel, "request taken in"}
	Placed         = Event{305, zapcore.InfoLevel, "request placed"}
	AttemptEnded   = Event{306, zapcore.InfoLevel, "attempt failed"}
	Answered       = Event{307, zapcore.InfoLevel, "request answered"}
	Cancelled      = Event{308, zapcore.InfoLevel, "caller left"}
	Resumed        = Event{309, zapcore.InfoLevel, "stream goes on at another backend server"}
	Served         = Event{310, zapcore.InfoLevel, "requests served since the last such line"}
	Queued         = Event{311, zapcore.InfoLevel, "request had to wait"}
	Suspected      = Event{312, zapcore.WarnLevel, "request broke off on several backend servers and is held back"}
	BanBegan       = Event{313, zapcore.WarnLevel, "parts of prompts crash backend servers, requests with them are held back"}
	BanEnded       = Event{314, zapcore.InfoLevel, "parts of prompts are no longer held back"}
	Trial          = Event{315, zapcore.InfoLevel, "request is sent as a trial of what is held back"}
	TrialGranted   = Event{316, zapcore.InfoLevel, "trial of what is held back decided"}
	TakenOver      = Event{319, zapcore.InfoLevel, "request goes on from its copy on another backend server"}
	Hedged         = Event{320, zapcore.InfoLevel, "request is sent to a second backend server, as the first has not answered"}
	HedgeEnded     = Event{321, zapcore.InfoLevel, "one of two attempts cancelled, as the other has been answered"}
	OriginFound    = Event{318, zapcore.InfoLevel, "software version that began a stream is known"}
	StreamAnswer   = Event{324, zapcore.InfoLevel, "answer of a stream ended"}
	CallerEnded    = Event{322, zapcore.InfoLevel, "connections of callers ended by a rule"}
	NoRoom         = Event{323, zapcore.WarnLevel, "callers found no room since the last such line"}
	OriginUnread   = Event{317, zapcore.WarnLevel, "which software version began a stream could not be read"}
	ServersRead    = Event{401, zapcore.DebugLevel, "list of VMs read"}
	ServersLost    = Event{402, zapcore.WarnLevel, "list of VMs could not be read"}
	EngineFailed   = Event{403, zapcore.WarnLevel, "backend server failed"}
	PeerFailed     = Event{404, zapcore.DebugLevel, "exchange with a peer failed"}
	ServerNew      = Event{405, zapcore.InfoLevel, "backend server new"}
	ServerLeaves   = Event{406, zapcore.InfoLevel, "backend server leaves"}
	ServerGone     = Event{407, zapcore.InfoLevel, "backend server gone"}
	ServerLapsed   = Event{408, zapcore.InfoLevel, "entry of a backend server lapsed with the store's outage"}
	ServerBad      = Event{409, zapcore.WarnLevel, "entry of a backend server makes no sense"}
	PoolBelief     = Event{410, zapcore.InfoLevel, "what is believed of a pool of engines"}
	LearnedLost    = Event{411, zapcore.WarnLevel, "what was learned of the engines could not be kept or read"}
	LimitChanged   = Event{412, zapcore.InfoLevel, "limit of a backend server changed"}
	LimitedSent    = Event{413, zapcore.InfoLevel, "requests sent to a limited backend server since the last such line"}
	LimitBad       = Event{414, zapcore.WarnLevel, "limit that a backend server states makes no sense"}
	ServerDown     = Event{415, zapcore.WarnLevel, "backend server closed its connections and takes no new ones"}
	BansLost       = Event{416, zapcore.WarnLevel, "what is known of parts that crash backend servers could not be kept or read"}
	OriginUnsaved  = Event{417, zapcore.WarnLevel, "software versions of streams could not be written"}
	SoftwareListed = Event{418, zapcore.InfoLevel, "software versions at which streams may begin"}
	ServerRests    = Event{419, zapcore.InfoLevel, "backend server wants no requests for a while"}
	RestBad        = Event{420, zapcore.WarnLevel, "pause that a backend server asks for makes no sense"}
	ServersDiffer  = Event{421, zapcore.WarnLevel, "list of backend servers differs from that of other processes"}
	WeightsStated  = Event{422, zapcore.InfoLevel, "backend server answers with other weights than it is listed with"}
	ClaimFailed    = Event{501, zapcore.WarnLevel, "claims could not be written"}
	DutyTaken      = Event{502, zapcore.InfoLevel, "duty taken"}
	DutyLost       = Event{503, zapcore.InfoLevel, "duty given up or lost"}
	DutyFailed     = Event{504, zapcore.WarnLevel, "lease could not be renewed"}
	OrderFailed    = Event{505, zapcore.WarnLevel, "backend servers could not be ordered"}
	UsageKept      = Event{601, zapcore.InfoLevel, "usage not handed on yet"}
	UsageSealed    = Event{603, zapcore.InfoLevel, "usage window sealed"}
	UsageSent      = Event{604, zapcore.InfoLevel, "usage window reported"}
	UsageCounted   = Event{605, zapcore.InfoLevel, "usage counts written"}
	UsageUnsure    = Event{606, zapcore.WarnLevel, "usage window not sealed again"}
	UsageFailed    = Event{602, zapcore.WarnLevel, "usage could not be sealed or reported"}
)
