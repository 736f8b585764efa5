/**
 * Preloaded into child processes: exits when the parent process is gone, however
 * it ended. The end of the parent closes the child's standard input.
 *
 * @module
 */
const ORPHANED_EXIT_CODE = 70

process.stdin.once('end', () => process.exit(ORPHANED_EXIT_CODE))
process.stdin.resume()
if ('unref' in process.stdin) process.stdin.unref()
