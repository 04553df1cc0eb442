/**
 * Draws the result as SVG: for each fault the share of requests answered in time by each policy.
 */
import { EMULATED_FAULTS } from './emulator.js';
import type { PoliciesResult } from './policies-experiment.js';
import { POLICY_NAMES } from './placement-policies.js';
import type { PolicyName } from './placement-policies.js';

const WIDTH = 760;
const HEIGHT = 360;
const MARGIN = 50;
const BAR_WIDTH = 24;
const GROUP_WIDTH = (WIDTH - 2 * MARGIN) / EMULATED_FAULTS.length;
const COLOURS: Readonly<Record<PolicyName, string>> = {
  'least-loaded': '#95a5a6',
  counts: '#e67e22',
  risk: '#1e8449',
};

function computeY(share: number): number {
  return HEIGHT - MARGIN - share * (HEIGHT - 2 * MARGIN);
}

function formatText(x: number, y: number, text: string, anchor = 'middle'): string {
  return `<text x="${x.toFixed(0)}" y="${y.toFixed(0)}" font-size="11" text-anchor="${anchor}">${text}</text>`;
}

function buildBar(x: number, share: number, colour: string): string {
  const y = computeY(share);
  const height = HEIGHT - MARGIN - y;
  const bar = `<rect x="${x.toFixed(1)}" y="${y.toFixed(1)}" width="${BAR_WIDTH}" height="${height.toFixed(1)}" fill="${colour}"/>`;
  return `${bar}${formatText(x + BAR_WIDTH / 2, y - 4, share.toFixed(2))}`;
}

/** Builds the SVG document. */
export function buildPoliciesSvg({ policies }: PoliciesResult): string {
  const bars = policies.map(({ policy, fault, inTime }) => {
    const group = MARGIN + EMULATED_FAULTS.indexOf(fault) * GROUP_WIDTH;
    const x = group + POLICY_NAMES.indexOf(policy) * (BAR_WIDTH + 4);
    return buildBar(x, inTime, COLOURS[policy]);
  });
  const labels = EMULATED_FAULTS.map((fault, index) =>
    formatText(MARGIN + index * GROUP_WIDTH + 42, HEIGHT - MARGIN + 16, fault),
  );
  const legend = POLICY_NAMES.map((policy, index) => {
    const x = MARGIN + index * 120;
    const box = `<rect x="${x}" y="14" width="12" height="12" fill="${COLOURS[policy]}"/>`;
    return `${box}${formatText(x + 18, 24, policy, 'start')}`;
  });
  const title = formatText(WIDTH - MARGIN, 24, 'share of requests answered in time', 'end');
  const axis = `<path d="M${MARGIN} ${HEIGHT - MARGIN}H${WIDTH - MARGIN}" stroke="#333"/>`;
  const parts = [axis, title, ...legend, ...labels, ...bars].join('\n');
  return `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${HEIGHT}" font-family="sans-serif">\n<rect width="100%" height="100%" fill="#fff"/>\n${parts}\n</svg>\n`;
}
