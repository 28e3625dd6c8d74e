package daemon

import (
	"github.com/charmbracelet/log"

	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/inbound"
	"slatewind.example/slatewind/reload"
)

// settingsFile is the settings file of a process.
type settingsFile struct {
	path string
	// level is the log level of the command line, which applies if the file names none.
	level log.Level
}

// Keys of the settings that can change while a process runs. All others need a restart.
var (
	reloadableProcessKeys = map[string]bool{"limits.journal_entries": true, "log_level": true}
	reloadableNodeKeys    = map[string]bool{
		"limits.journal_entries": true, "log_level": true, "seed_peers": true, "bounds.grace": true,
		"bounds.retry_ratio": true, "bounds.retry_window": true, "bounds.retry_slack": true,
	}
)

// reloadSink applies a changed settings file and logs the result.
type reloadSink struct {
	file   settingsFile
	logger *log.Logger
	apply  func(*slatewindv1.Process)
}

// Reloaded implements reload.Sink.
func (r reloadSink) Reloaded(process *slatewindv1.Process, changes []reload.Change) {
	r.file.setLevel(r.logger, process)
	r.apply(process)
	for _, c := range changes {
		r.logger.Info("setting changed", "key", c.Key, "before", c.Before, "after", c.After, "effect", c.Effect)
	}
	r.logger.Info("settings file read", "changes", len(changes))
}

// NotReloaded implements reload.Sink.
func (r reloadSink) NotReloaded(cause error) {
	r.logger.Error("settings file rejected; the settings in force stay", "cause", cause)
}

// setLevel sets the log level that the settings name, or else that of the command line.
func (f settingsFile) setLevel(logger *log.Logger, process *slatewindv1.Process) {
	level := f.level
	if name := process.GetLogLevel(); name != "" {
		var err error
		if level, err = log.ParseLevel(name); err != nil {
			logger.Error("log level not set", "cause", err)
			return
		}
	}
	logger.SetLevel(level)
}

// reload applies the settings of reloadableProcessKeys.
func (p *Process) reload(process *slatewindv1.Process) {
	p.journal.Resize(int(process.GetLimits().GetJournalEntries()))
}

// reload applies the settings of reloadableNodeKeys.
func (n *Node) reload(process *slatewindv1.Process) {
	n.history.Resize(int(process.GetLimits().GetJournalEntries()))
	n.source.SetSeeds(process.GetSeedPeers())
	n.inbound.SetBounds(boundsOf(process))
	n.reloadable.Store(process)
}

// boundsOf returns the limit on extra attempts from the settings.
func boundsOf(process *slatewindv1.Process) inbound.Bounds {
	bounds := process.GetBounds()
	return inbound.Bounds{RetryRatio: bounds.GetRetryRatio(), RetrySlack: bounds.GetRetrySlack(), RetryWindow: bounds.GetRetryWindow().AsDuration()}
}
