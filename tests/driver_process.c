#define _GNU_SOURCE /* close_range() */

#include "driver.h"

#include <CUnit/CUnit.h>
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

/* By role. */
static const char *const programs[] = { "standin-platform", "standin-engine", "medlarplankd",
                                        "medlarplankd",     "medlarplankctl", "standin-upstream",
                                        "medlarplankd" };

char *
drv_next_ip (drv_t *drv)
{
  g_assert (drv->next_ip < 250);
  return g_strdup_printf ("%s.%u", drv->network, ++drv->next_ip);
}

static char *
program_path (drv_role_t role)
{
  const char *build = g_getenv ("MEDLARPLANK_BUILD");
  return g_build_filename (build != NULL ? build : "build", programs[role], NULL);
}

drv_process_t *
drv_process_new (drv_t *drv, drv_role_t role, const char *name, const char *flags)
{
  drv_process_t *process = g_new0 (drv_process_t, 1);
  process->drv = drv;
  process->role = role;
  process->name = g_strdup (name);
  process->ip = drv_next_ip (drv);
  process->log_path = g_strdup_printf ("%s/%s-%d.log", drv->dir, name, (int)role);
  process->max_runs = -1;
  process->argv = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (process->argv, program_path (role));
  if (role != DRV_TOOL)
    drv_process_flag (process, "--listen=%s:%d", process->ip, DRV_PORT);
  g_auto (GStrv) words = g_strsplit (flags != NULL ? flags : "", " ", -1);
  for (char **word = words; *word != NULL; word++)
    if (**word != '\0')
      drv_process_flag (process, "%s", *word);
  g_ptr_array_add (drv->processes, process);
  return process;
}

void
drv_process_flag (drv_process_t *process, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  g_ptr_array_add (process->argv, g_strdup_vprintf (format, args));
  va_end (args);
}

/* Runs in the child. The kernel kills the child when the test ends, also after a crash. Sockets are
 * not inherited: a connection that the driver closes would stay open in the child. */
static void
exec_program (drv_process_t *process, int log_fd)
{
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  dup2 (log_fd, STDOUT_FILENO);
  dup2 (log_fd, STDERR_FILENO);
  close_range (STDERR_FILENO + 1, ~0U, 0);
  execv (process->argv->pdata[0], (char **)process->argv->pdata);
  fprintf (stderr, "%s: %s\n", (char *)process->argv->pdata[0], strerror (errno));
  _exit (127);
}

void
drv_process_start (drv_process_t *process)
{
  g_assert (process->pid == 0);
  int log_fd = open (process->log_path, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
  g_assert (log_fd >= 0);
  g_ptr_array_add (process->argv, NULL);
  process->pid = fork ();
  g_assert (process->pid >= 0);
  if (process->pid == 0)
    exec_program (process, log_fd);
  g_ptr_array_set_size (process->argv, (gint)process->argv->len - 1);
  close (log_fd);
}

/* Waits until the kernel has stopped all threads: after SIGSTOP was sent, a thread that still runs
 * could accept the next request of the session. */
static void
wait_stopped (drv_process_t *process)
{
  int status;
  if (waitpid (process->pid, &status, WUNTRACED) != process->pid || !WIFSTOPPED (status))
    drv_fail (process->drv, "%s did not stop on SIGSTOP", process->name);
}

void
drv_signal (drv_process_t *process, int number)
{
  if (process->pid <= 0)
    return;
  kill (process->pid, number);
  if (number == SIGSTOP)
    wait_stopped (process);
  if (number == SIGSTOP || number == SIGCONT)
    process->is_paused = number == SIGSTOP;
}

bool
drv_reap (drv_process_t *process)
{
  if (process->pid <= 0)
    return true;
  if (waitpid (process->pid, &process->status, WNOHANG) != process->pid)
    return false;
  process->pid = 0;
  process->is_paused = false;
  return true;
}

static bool
has_exited (void *context)
{
  return drv_reap (context);
}

int
drv_ended (drv_process_t *process)
{
  g_autofree char *what = g_strdup_printf ("the exit of %s", process->name);
  if (!drv_until (process->drv, DRV_WAIT_MS, what, has_exited, process))
    return -1;
  return WIFEXITED (process->status) ? WEXITSTATUS (process->status) : -1;
}

void
drv_kill (drv_process_t *process)
{
  if (process->pid <= 0)
    return;
  kill (process->pid, SIGKILL);
  waitpid (process->pid, &process->status, 0);
  process->pid = 0;
  process->is_paused = false;
}

void
drv_process_free (drv_process_t *process)
{
  drv_kill (process);
  g_ptr_array_free (process->argv, TRUE);
  g_free (process->name);
  g_free (process->ip);
  g_free (process->log_path);
  g_free (process->record_path);
  g_free (process);
}

uint32_t
drv_logged (const drv_process_t *process, const char *first, const char *second)
{
  g_autofree char *text = NULL;
  uint32_t count = 0;
  if (!g_file_get_contents (process->log_path, &text, NULL, NULL))
    return 0;
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);
  for (char **line = lines; *line != NULL; line++)
    if (strstr (*line, first) != NULL && (second == NULL || strstr (*line, second) != NULL))
      count++;
  return count;
}

drv_process_t *
drv_tool (drv_t *drv, const char *flags)
{
  g_autofree char *name = g_strdup_printf ("tool%u", drv->next_ip);
  drv_process_t *tool = drv_process_new (drv, DRV_TOOL, name, flags);
  drv_process_flag (tool, "--platform=%s:%d", drv->platform->ip, DRV_PORT);
  drv_process_start (tool);
  return tool;
}

char *
drv_file (drv_t *drv, const char *name, const char *text)
{
  char *path = g_build_filename (drv->dir, name, NULL);
  g_file_set_contents (path, text, -1, NULL);
  return path;
}
