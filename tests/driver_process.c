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
driver_next_ip (driver_t *driver)
{
  g_assert (driver->next_ip < 250);
  return g_strdup_printf ("%s.%u", driver->network, ++driver->next_ip);
}

static char *
program_path (driver_role_t role)
{
  const char *build = g_getenv ("MEDLARPLANK_BUILD");
  return g_build_filename (build != NULL ? build : "build", programs[role], NULL);
}

driver_process_t *
driver_process_new (driver_t *driver, driver_role_t role, const char *name, const char *flags)
{
  driver_process_t *process = g_new0 (driver_process_t, 1);
  process->driver = driver;
  process->role = role;
  process->name = g_strdup (name);
  process->ip = driver_next_ip (driver);
  process->log_path = g_strdup_printf ("%s/%s-%d.log", driver->dir, name, (int)role);
  process->max_runs = -1;
  process->argv = g_ptr_array_new_with_free_func (g_free);
  g_ptr_array_add (process->argv, program_path (role));
  if (role != DRIVER_CTL)
    driver_process_add_flag (process, "--listen=%s:%d", process->ip, DRIVER_PORT);
  g_auto (GStrv) words = g_strsplit (flags != NULL ? flags : "", " ", -1);
  for (char **word = words; *word != NULL; word++)
    if (**word != '\0')
      driver_process_add_flag (process, "%s", *word);
  g_ptr_array_add (driver->processes, process);
  return process;
}

void
driver_process_add_flag (driver_process_t *process, const char *format, ...)
{
  va_list args;
  va_start (args, format);
  g_ptr_array_add (process->argv, g_strdup_vprintf (format, args));
  va_end (args);
}

/* Runs in the child. The kernel kills the child when the test ends, also after a crash. Sockets are
 * not inherited: a connection that the driver closes would stay open in the child. */
static void
exec_program (driver_process_t *process, int log_fd)
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
driver_process_start (driver_process_t *process)
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
wait_stopped (driver_process_t *process)
{
  int status;
  if (waitpid (process->pid, &status, WUNTRACED) != process->pid || !WIFSTOPPED (status))
    driver_fail (process->driver, "%s did not stop on SIGSTOP", process->name);
}

void
driver_process_signal (driver_process_t *process, int number)
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
driver_process_reap (driver_process_t *process)
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
  return driver_process_reap (context);
}

int
driver_process_wait_exit (driver_process_t *process)
{
  g_autofree char *what = g_strdup_printf ("the exit of %s", process->name);
  if (!driver_wait_until (process->driver, DRIVER_WAIT_LIMIT_MS, what, has_exited, process))
    return -1;
  return WIFEXITED (process->status) ? WEXITSTATUS (process->status) : -1;
}

void
driver_process_kill (driver_process_t *process)
{
  if (process->pid <= 0)
    return;
  kill (process->pid, SIGKILL);
  waitpid (process->pid, &process->status, 0);
  process->pid = 0;
  process->is_paused = false;
}

void
driver_process_free (driver_process_t *process)
{
  driver_process_kill (process);
  g_ptr_array_free (process->argv, TRUE);
  g_free (process->name);
  g_free (process->ip);
  g_free (process->log_path);
  g_free (process->record_path);
  g_free (process);
}

uint32_t
driver_process_count_log_lines (const driver_process_t *process,
                                const char *first,
                                const char *second)
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

driver_process_t *
driver_start_ctl (driver_t *driver, const char *flags)
{
  g_autofree char *name = g_strdup_printf ("tool%u", driver->next_ip);
  driver_process_t *tool = driver_process_new (driver, DRIVER_CTL, name, flags);
  driver_process_add_flag (tool, "--platform=%s:%d", driver->platform->ip, DRIVER_PORT);
  driver_process_start (tool);
  return tool;
}

char *
driver_write_file (driver_t *driver, const char *name, const char *text)
{
  char *path = g_build_filename (driver->dir, name, NULL);
  g_file_set_contents (path, text, -1, NULL);
  return path;
}
