package main

import "github.com/sirupsen/logrus"

// nameHook adds the entry's name to each log line.
type nameHook struct{ name string }

func (nameHook) Levels() []logrus.Level { return logrus.AllLevels }

func (h nameHook) Fire(e *logrus.Entry) error {
	e.Data["entry"] = h.name
	return nil
}
