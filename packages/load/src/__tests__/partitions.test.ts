/** Callers of a fleet of which some instances lose their links to all targets, simulated in virtual time. */
import { describe, expect, it } from 'vitest';
import { simulatePartition } from '..';

const WAYS = {
  neither: { forwards: false, leavesDirectory: false },
  directory: { forwards: false, leavesDirectory: true },
  forwarding: { forwards: true, leavesDirectory: false },
  both: { forwards: true, leavesDirectory: true },
};
/** Instances, and how many of them are cut off. */
const CASES = [
  [9, 3],
  [9, 8],
  [300, 13],
  [300, 150],
  [300, 299],
];
/** Longest time in which instances detect that they are cut off, ms. */
const DETECTION_MS = 700;
const LIKE_THE_OTHERS = 0.98;

const play = (instances: number, cut: number, way: (typeof WAYS)[keyof typeof WAYS]) =>
  simulatePartition({
    seed: 7,
    instances,
    cut,
    rate: 20 * instances,
    detectionMs: DETECTION_MS,
    ...way,
  });

describe('while instances are cut off from all targets', () => {
  it.each(CASES)('of %d instances, %d cut off: callers are served like the others', (size, cut) => {
    // Guards against serving callers only if few instances are cut off.
    Object.entries(WAYS).forEach(([name, way]) => {
      const { atCut, atOthers, sentToCut, hops, busiest } = play(size, cut, way);
      console.log(
        `${cut} of ${size}, ${name}: served ${atCut.toFixed(3)} (others ${atOthers.toFixed(3)}), sent to cut ones at the end ${sentToCut.toFixed(2)}, hops ${hops.toFixed(2)}, busiest ${busiest.toFixed(3)}`,
      );
    });
    const both = play(size, cut, WAYS.both);
    expect(both.atCut).toBeGreaterThanOrEqual(LIKE_THE_OTHERS * both.atOthers);
    expect(both.sentToCut).toBe(0);
    expect(both.hops).toBeLessThan(play(size, cut, WAYS.forwarding).hops);
  });
});
