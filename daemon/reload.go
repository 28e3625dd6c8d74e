package daemon

import (
	"github.com/charmbracelet/log"

	"slatewind.example/slatewind/api/slatewindv1"
	"slatewind.example/slatewind/inbound"
	"slatewind.example/slatewind/reload"
)

// settingsFile is the file with a process's settings.
type settingsFile struct {
	path string
	// level is the command line's level of logs, for a file that names none.
	level log.Level
}

// Keys of the settings that a living process takes; all others count from its start.
var (
	livingOfProcess = map[string]bool{"limits.journal_entries": true, "log_level": true}
	livingOfNode    = map[string]bool{
		"limits.journal_entries": true, "log_level": true, "seed_peers": true, "bounds.grace": true,
		"bounds.retry_ratio": true, "bounds.retry_window": true, "bounds.retry_slack": true,
	}
)

// reloaded logs what became of a changed settings file and puts it into force.
type reloaded struct {
	file   settingsFile
	logger *log.Logger
	apply  func(*slatewindv1.Process)
}

// Reloaded implements reload.Sink.
func (r reloaded) Reloaded(process *slatewindv1.Process, changes []reload.Change) {
	r.file.setLevel(r.logger, process)
	r.apply(process)
	for _, c := range changes {
		r.logger.Info("setting changed", "key", c.Key, "before", c.Before, "after", c.After, "effect", c.Effect)
	}
	r.logger.Info("settings file read", "changes", len(changes))
}

// NotReloaded implements reload.Sink.
func (r reloaded) NotReloaded(cause error) {
	r.logger.Error("settings file not taken; what was in force stays", "cause", cause)
}

// setLevel sets the level of logs that settings name, or else the command line's.
func (f settingsFile) setLevel(logger *log.Logger, process *slatewindv1.Process) {
	level := f.level
	if name := process.GetLogLevel(); name != "" {
		var err error
		if level, err = log.ParseLevel(name); err != nil {
			logger.Error("level of logs not set", "cause", err)
			return
		}
	}
	logger.SetLevel(level)
}

// reload puts into force what a living process can change.
func (p *Process) reload(process *slatewindv1.Process) {
	p.journal.Resize(int(process.GetLimits().GetJournalEntries()))
}

// reload puts into force what a living node can change.
func (n *Node) reload(process *slatewindv1.Process) {
	n.history.Resize(int(process.GetLimits().GetJournalEntries()))
	n.share.SetSeeds(process.GetSeedPeers())
	n.inbound.SetBounds(boundsOf(process))
	n.living.Store(process)
}

// boundsOf returns the bounds on extra arrivals that settings state.
func boundsOf(process *slatewindv1.Process) inbound.Bounds {
	bounds := process.GetBounds()
	return inbound.Bounds{RetryRatio: bounds.GetRetryRatio(), RetrySlack: bounds.GetRetrySlack(), RetryWindow: bounds.GetRetryWindow().AsDuration()}
}
