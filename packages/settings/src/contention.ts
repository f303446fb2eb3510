/** Settings of a deployment whose callers compete for too little room at times. */
import type { InstanceSettings } from './instanceSettings';

const PARTS = ['exchange', 'liveInstances', 'fairness', 'admission', 'pace'] as const;

/** Returns the settings with the parts that answer load in effect for all services instead of those whose targets state their pace. */
export const forContention = (settings: InstanceSettings): InstanceSettings =>
  PARTS.reduce(
    (changed, part) =>
      changed[part].scope === 'paced'
        ? { ...changed, [part]: { ...changed[part], scope: 'all' } }
        : changed,
    settings,
  );
