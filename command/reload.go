package command

import (
	"os"
	"time"

	"tanagerpoint.example/tanager/event"
	"tanagerpoint.example/tanager/setting"
)

// lookInterval is the time between looks at the settings file: it may change
// without a signal.
const lookInterval = 2 * time.Second

// settingsFile is a daemon's settings and the file that they come from. It is
// used by one goroutine.
type settingsFile[S Settings] struct {
	program Program[S]
	path    string
	log     *event.Log
	current S
	// written is when the file was last changed, as last looked at.
	written time.Time
}

// changed tells whether the file is another one than at the last look.
func (sf *settingsFile[S]) changed() bool {
	fi, err := os.Stat(sf.path)
	if err != nil || fi.ModTime().Equal(sf.written) {
		return false
	}
	sf.written = fi.ModTime()
	return true
}

// reload reads the file and hands the settings to the daemon.
func (sf *settingsFile[S]) reload(da Daemon) {
	se := sf.program.NewSettings()
	if err := setting.Load(sf.path, se); err != nil {
		sf.log.Warn(event.SettingsUnusable, err, event.Fields{"file": sf.path})
		return
	}
	re, ok := da.(Reloader[S])
	if !ok {
		sf.log.Info(event.SettingsKept, event.Fields{"file": sf.path})
		return
	}
	sf.current = se
	re.Reload(se)
	sf.log.Info(event.SettingsReloaded, event.Fields{"file": sf.path, "written": sf.written})
}
