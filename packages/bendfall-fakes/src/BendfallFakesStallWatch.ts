/**
 * Loaded into each process of a cluster: tells when it got no processor for a while, so that a
 * failed test beside load shows what stood still, and when. It imports nothing: each process of a
 * cluster would load it at its start.
 *
 * @module
 */
const LOOK_EACH_MS = 50
const LEAST_STALL_MS = 100

let lookedAtMs = performance.now()

setInterval(() => {
  const nowMs = performance.now()
  const stalledMs = Math.round(nowMs - lookedAtMs - LOOK_EACH_MS)
  lookedAtMs = nowMs
  if (stalledMs >= LEAST_STALL_MS) console.log(`time=${new Date().toISOString()} event=process_stalled stalledMs=${stalledMs}`)
}, LOOK_EACH_MS).unref()
