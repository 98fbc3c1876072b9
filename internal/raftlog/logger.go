package raftlog

import (
	"fmt"
	"log/slog"
)

// raftLogger implements [raft.Logger]. Errors are logged as errors, warnings at debug level, and all else is dropped.
// Fatal errors and panics of raft become panics with a raftPanic, which recoverRaftPanic recovers.
type raftLogger struct{ logger *slog.Logger }

func (*raftLogger) Debug(...any)                       {}
func (*raftLogger) Debugf(string, ...any)              {}
func (*raftLogger) Info(...any)                        {}
func (*raftLogger) Infof(string, ...any)               {}
func (l *raftLogger) Warning(v ...any)                 { l.logger.Debug(fmt.Sprint(v...)) }
func (l *raftLogger) Warningf(format string, v ...any) { l.logger.Debug(fmt.Sprintf(format, v...)) }
func (l *raftLogger) Error(v ...any)                   { l.logger.Error(fmt.Sprint(v...)) }
func (l *raftLogger) Errorf(format string, v ...any)   { l.logger.Error(fmt.Sprintf(format, v...)) }
func (*raftLogger) Fatal(v ...any)                     { panic(raftPanic(fmt.Sprint(v...))) }
func (*raftLogger) Fatalf(format string, v ...any)     { panic(raftPanic(fmt.Sprintf(format, v...))) }
func (*raftLogger) Panic(v ...any)                     { panic(raftPanic(fmt.Sprint(v...))) }
func (*raftLogger) Panicf(format string, v ...any)     { panic(raftPanic(fmt.Sprintf(format, v...))) }
