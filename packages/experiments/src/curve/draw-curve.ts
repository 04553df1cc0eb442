/**
 * Draws the curve as SVG: false ejections an upstream-hour across, median detection time up, one
 * line a fault, one dot a threshold.
 */
import { SICK_FAULTS } from './curve-experiment.js';
import type { CurvePoint, SickFault } from './curve-experiment.js';

const WIDTH = 640;
const HEIGHT = 400;
const MARGIN = 60;
const MAX_MS = 4000;
const MAX_RATE = 32;
const COLOURS: Readonly<Record<SickFault, string>> = {
  stall: '#c0392b',
  slow: '#2471a3',
  errors: '#1e8449',
};

/** The axis is linear near zero, so that "none seen" has a place, and logarithmic beyond. */
function computeX(rate: number): number {
  const share = Math.log2(1 + rate) / Math.log2(1 + MAX_RATE);
  return MARGIN + Math.min(1, share) * (WIDTH - 2 * MARGIN);
}

function computeY(milliseconds: number): number {
  return HEIGHT - MARGIN - (Math.min(milliseconds, MAX_MS) / MAX_MS) * (HEIGHT - 2 * MARGIN);
}

function formatText(x: number, y: number, text: string, attributes = ''): string {
  return `<text x="${x.toFixed(0)}" y="${y.toFixed(0)}" font-size="12" ${attributes}>${text}</text>`;
}

function buildLine(points: readonly CurvePoint[], fault: SickFault, index: number): string {
  const colour = COLOURS[fault];
  const places = points.map((point) => ({
    x: computeX(point.falseEjectionsPerHour),
    y: computeY(point.detectionMs[fault]),
    threshold: point.threshold,
  }));
  const path = places.map(({ x, y }) => `${x.toFixed(1)},${y.toFixed(1)}`).join(' ');
  const dots = places.map(
    ({ x, y, threshold }) =>
      `<circle cx="${x.toFixed(1)}" cy="${y.toFixed(1)}" r="3" fill="${colour}"/>${formatText(x + 5, y - 4, String(threshold), `fill="${colour}"`)}`,
  );
  const legend = formatText(WIDTH - 120, MARGIN + index * 16, fault, `fill="${colour}"`);
  return `<polyline points="${path}" fill="none" stroke="${colour}"/>${dots.join('')}${legend}`;
}

/** Builds the SVG document. */
export function buildCurveSvg(title: string, points: readonly CurvePoint[]): string {
  const rates = [0, 1, 4, 16, 32].map((rate) =>
    formatText(computeX(rate), HEIGHT - MARGIN + 18, String(rate), 'text-anchor="middle"'),
  );
  const times = [0, 1000, 2000, 3000, 4000].map((time) =>
    formatText(MARGIN - 8, computeY(time) + 4, String(time), 'text-anchor="end"'),
  );
  const axes = `<path d="M${MARGIN} ${MARGIN}V${HEIGHT - MARGIN}H${WIDTH - MARGIN}" fill="none" stroke="#333"/>`;
  const labels = [
    formatText(WIDTH / 2, 24, title, 'text-anchor="middle" font-weight="bold"'),
    formatText(WIDTH / 2, HEIGHT - 14, 'false ejections an upstream-hour', 'text-anchor="middle"'),
    formatText(MARGIN, MARGIN - 12, 'median detection time, ms; dots: threshold'),
  ];
  const lines = SICK_FAULTS.map((fault, index) => buildLine(points, fault, index));
  const parts = [axes, ...rates, ...times, ...labels, ...lines].join('\n');
  return `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${HEIGHT}" font-family="sans-serif">\n<rect width="100%" height="100%" fill="#fff"/>\n${parts}\n</svg>\n`;
}
