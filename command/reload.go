package command

import (
	"os"
	"time"

	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/setting"
)

// pollInterval is the time between checks of the settings file's modification time.
// The file is polled because it may change without a SIGHUP.
const pollInterval = 2 * time.Second

// settingsFile holds a daemon's current settings and the file that they were loaded
// from. It is used by one goroutine.
type settingsFile[S Settings] struct {
	program Program[S]
	path    string
	log     *event.Log
	current S
	// modTime is the file's modification time at the last check.
	modTime time.Time
}

// changed reports whether the file's modification time differs from the one at the
// last check, and records it. A file without one, such as a missing file, counts as
// unchanged.
func (sf *settingsFile[S]) changed() bool {
	fi, err := os.Stat(sf.path)
	if err != nil || fi.ModTime().Equal(sf.modTime) {
		return false
	}
	sf.modTime = fi.ModTime()
	return true
}

// reload loads the file and passes the settings to the daemon. If the file has findings
// or the daemon is not a Reloader, the current settings stay.
func (sf *settingsFile[S]) reload(da Daemon) {
	se := sf.program.NewSettings()
	if err := setting.Load(sf.path, se); err != nil {
		sf.log.Warn(event.SettingsInvalid, err, event.Fields{"file": sf.path})
		return
	}
	re, ok := da.(Reloader[S])
	if !ok {
		sf.log.Info(event.SettingsNeedRestart, event.Fields{"file": sf.path})
		return
	}
	sf.current = se
	re.Reload(se)
	sf.log.Info(event.SettingsReloaded, event.Fields{"file": sf.path, "written": sf.modTime})
}
