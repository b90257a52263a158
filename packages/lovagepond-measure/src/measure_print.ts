/**
 * Formats tables as Markdown, ready to be copied into docs/MEASURES.md.
 */
import {type MeasureSection} from './measure_types.js';

function padCells(cells: readonly string[], widths: readonly number[]): string {
  const padded = cells.map((cell, index) => {
    const width = widths[index] ?? 0;
    return index === 0 ? cell.padEnd(width) : cell.padStart(width);
  });
  return `| ${padded.join(' | ')} |`;
}

/**
 * @param section a table
 * @returns the table as Markdown
 */
export function formatSection(section: MeasureSection): string {
  const rows = section.rows.map(row => row.map(String));
  const widths = section.columns.map((column, index) => {
    const cells = rows.map(row => row[index]?.length ?? 0);
    return Math.max(column.length, ...cells);
  });
  const rule = widths.map(width => '-'.repeat(width));
  const lines = [
    `### ${section.title}`,
    '',
    padCells(section.columns, widths),
    padCells(rule, widths),
    ...rows.map(row => padCells(row, widths)),
    '',
    ...section.notes.map(note => `- ${note}`),
  ];
  return `${lines.join('\n')}\n`;
}
