/** Instance settings: what is wrong is named with what to do about it. */
import { describe, expect, it } from 'vitest';
import { parseInstanceSettings } from '..';

const good = {
  instance: { id: 'north-1', ip: '127.0.0.1', failureDomain: 'north-a', region: 'north' },
  listen: {
    callers: '127.0.0.1:1',
    readiness: '127.0.0.1:2',
    directory: '127.0.0.1:3',
    peers: '127.0.0.1:4',
  },
  failureDomains: { 'north-a': 'north' },
  store: { address: '127.0.0.1:5' },
  bounds: {
    graceSeconds: 6,
    repeatRatio: 0.2,
    repeatExtra: 58,
    repeatWindowSeconds: 10,
    coldOverage: 1.5,
    coldSlack: 5,
    directoryTtlSeconds: 5,
  },
};
const messageOf = (value: unknown) =>
  parseInstanceSettings(typeof value === 'string' ? value : JSON.stringify(value), 'file').match(
    (settings) => settings,
    (failure) => failure.message,
  );

describe('instance settings', () => {
  it('fill in defaults and ignore fields they do not know', () => {
    expect(messageOf({ ...good, newField: 1 })).toMatchSnapshot();
  });

  it('name every bad field', () => {
    const bad = {
      ...good,
      listen: { ...good.listen, callers: 'here' },
      store: {},
      bounds: { ...good.bounds, graceSeconds: 0, coldSlack: 'much' },
    };
    expect(messageOf(bad)).toMatchSnapshot();
    expect(messageOf('{"instance":')).toContain('is not JSON');
  });
});
