/**
 * Formats tables and byte counts for a terminal.
 *
 * @module
 */
const COLUMN_GAP = '  '

/**
 * Formats rows as a table with aligned columns.
 *
 * @param header - names of the columns
 * @param rows - cells of each row, as many as the header has
 * @returns the table with its header; empty text without rows
 */
export function formatTable (header: readonly string[], rows: ReadonlyArray<readonly string[]>): string {
  if (rows.length === 0) return ''
  const lines = [header, ...rows]
  const widths = header.map((_, column) => Math.max(...lines.map((line) => line[column].length)))
  return lines.map((line) => formatLine(line, widths)).join('\n')
}

/**
 * Formats a number of bytes in the largest fitting binary unit.
 *
 * @param bytes - non-negative number of bytes
 * @returns number with at most one decimal, and unit
 */
export function formatBytes (bytes: number): string {
  const units = ['B', 'KiB', 'MiB', 'GiB', 'TiB']
  const step = 1024
  let value = bytes
  let unit = 0
  while (value >= step && unit < units.length - 1) {
    value /= step
    unit += 1
  }
  return `${Number(value.toFixed(1))} ${units[unit]}`
}

function formatLine (line: readonly string[], widths: readonly number[]): string {
  return line.map((cell, column) => cell.padEnd(widths[column])).join(COLUMN_GAP).trimEnd()
}
