/**
 * DOC: explain_logs
 *
 * The story of one request from collected log files of any number of daemons: the lines that bear
 * its id, in order of time, and what the same daemon came to believe shortly before and meanwhile.
 */
#ifndef CTL_EXPLAIN_LOGS_H
#define CTL_EXPLAIN_LOGS_H

#include "ctl.h"

/* What a daemon learned so long before a request's first line is told with it: twice the time in
 * which a version must be in force, and the span in which entries lapse. */
#define XPL_BEFORE_MS 5000
#define XPL_LINE_BYTES (64 * 1024) /* a longer line is no line of a daemon */

/** xpl_explain() - print the story of @request from @path, a file or a folder of files */
ctl_exit_t xpl_explain (ctl_t *ctl, const char *request, const char *path);

#endif
