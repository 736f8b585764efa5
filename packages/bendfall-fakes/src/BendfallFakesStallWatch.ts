/**
 * Preloaded into each process of a cluster: logs when the process got no CPU time for a while, so
 * that the output of a test that fails on a busy machine shows which processes were paused, and
 * when. It imports nothing, because every process of a cluster would have to load the imports at
 * its start.
 *
 * @module
 */
const CHECK_INTERVAL_MS = 50
const MIN_STALL_MS = 100

let lastCheckMs = performance.now()

setInterval(() => {
  const nowMs = performance.now()
  const stalledMs = Math.round(nowMs - lastCheckMs - CHECK_INTERVAL_MS)
  lastCheckMs = nowMs
  if (stalledMs >= MIN_STALL_MS) console.log(`time=${new Date().toISOString()} event=process_stalled stalledMs=${stalledMs}`)
}, CHECK_INTERVAL_MS).unref()
