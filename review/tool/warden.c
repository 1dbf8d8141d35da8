/* What the users' platform does with a process that exceeds its memory, for the review: it is killed, and started again
 * after a short delay. It starts programs again that ended by themselves, too.
 *
 * warden LIMIT-MB DELAY-MS RECORD PROGRAM ARGS...
 *
 * The memory is the resident set (VmRSS), looked at each 5 ms. The record gets "start MS PID" and "over MS PID MB".
 */
#include "net.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

static long
read_rss_kb (pid_t pid)
{
  char path[64];
  char line[256];
  long kb = 0;
  FILE *in;

  snprintf (path, sizeof path, "/proc/%d/status", (int)pid);
  in = fopen (path, "r");
  while (in && fgets (line, sizeof line, in))
    if (sscanf (line, "VmRSS: %ld kB", &kb) == 1)
      break;
  if (in)
    fclose (in);
  return kb;
}

static pid_t
start (char **command)
{
  pid_t pid = fork ();

  if (pid != 0)
    return pid;
  prctl (PR_SET_PDEATHSIG, SIGKILL);
  execv (command[0], command);
  _exit (127);
}

int
main (int argc, char **argv)
{
  long limit_kb = argc > 4 ? atol (argv[1]) * 1024 : 0;
  FILE *record = argc > 4 ? fopen (argv[3], "a") : NULL;

  if (!record || limit_kb == 0)
    return 2;
  while (true)
    {
      pid_t pid = start (argv + 4);
      bool is_running = true;

      fprintf (record, "start %lld %d\n", (long long)now_ms (), (int)pid);
      fflush (record);
      while (is_running)
        {
          long kb = read_rss_kb (pid);

          if (kb > limit_kb)
            {
              fprintf (record, "over %lld %d %ld\n", (long long)now_ms (), (int)pid, kb / 1024);
              fflush (record);
              kill (pid, SIGKILL);
              waitpid (pid, NULL, 0);
              is_running = false;
            }
          else if (waitpid (pid, NULL, WNOHANG) == pid)
            {
              fprintf (record, "ended %lld %d\n", (long long)now_ms (), (int)pid);
              fflush (record);
              is_running = false;
            }
          usleep (5000);
        }
      usleep ((unsigned)atoi (argv[2]) * 1000);
    }
}
