/**
 * DOC: explain_logs
 *
 * Reconstructs the course of one request from collected log files of any number of daemons: the
 * lines that carry its id, in order of time, and the state changes that the same daemon processes
 * logged shortly before and during the request.
 */
#ifndef CTL_EXPLAIN_LOGS_H
#define CTL_EXPLAIN_LOGS_H

#include "ctl.h"

/* A state change is printed if it precedes a line of the request by at most this: twice the time
 * within which a new version must be in force, which is also the time after which entries lapse. */
#define EXPLAIN_LOGS_CONTEXT_MS 5000
/* size of the line buffer; daemons log no longer lines */
#define EXPLAIN_LOGS_LINE_BYTES (64 * 1024)

/** explain_logs_print() - print the log lines that concern @request from @path, a file or a
 * directory */
ctl_exit_t explain_logs_print (ctl_t *ctl, const char *request, const char *path);

#endif
