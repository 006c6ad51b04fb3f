package main

// SIGHUP must not end a process that has just started. The Go runtime and the packages take some
// milliseconds before signals can be asked for, so it is ignored before the runtime starts.

/*
#include <signal.h>

__attribute__((constructor)) static void ignore_hangup(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"
