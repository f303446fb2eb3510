/** The peers through which an instance that is cut off serves requests. */
import { beforeEach, describe, expect, it } from 'vitest';
import type { InstanceEntry } from '@cardamomladder/fleet';
import { failureDomainName, instanceId, regionName, socketAddress } from '@cardamomladder/types';
import { nearestInstances } from '../../server/directory';
import { decodeForwarded, encodeForwarded } from '../forwardedRequest';
import { ForwardingPeers } from '../forwardingPeers';

const entry = (id: string, failureDomain: string, changes: Partial<InstanceEntry> = {}) => ({
  id: instanceId(id),
  callerAddress: socketAddress(`${id}:1`),
  peerAddress: socketAddress(`${id}:2`),
  failureDomain: failureDomainName(failureDomain),
  region: regionName(failureDomain.split('-')[0]),
  capacity: { cores: 1, linkMbps: 100 },
  ...changes,
});
const CUT = { cutOff: true };

let now: number;
let known: InstanceEntry[];
let peers: ForwardingPeers;

const choose = (home: string[] = [], tried: string[] = []) =>
  peers.choose(home.map(regionName), new Set(tried.map(instanceId)))?.id;

beforeEach(() => {
  now = 0;
  known = [
    entry('self', 'north-a', CUT),
    entry('near', 'north-b'),
    entry('near-cut', 'north-a', CUT),
    entry('far', 'south-a'),
  ];
  peers = new ForwardingPeers({
    self: known[0],
    known: () => known,
    now: () => now,
    random: () => 0,
  });
});

describe('forwarding peers', () => {
  it('reach targets, and are of the own region if possible', () => {
    expect([choose(), choose([], ['near']), choose([], ['near', 'far'])]).toEqual([
      'near',
      'far',
      undefined,
    ]);
  });

  it('are in a home region of the request', () => {
    // Guards against passing requests through regions that their route or customer excludes.
    expect([choose(['south']), choose(['west'])]).toEqual(['far', undefined]);
  });

  it('are avoided for a second after they could not serve a request', () => {
    peers.avoid(instanceId('near'));
    expect(choose()).toBe('far');
    now = 1000;
    expect(choose()).toBe('near');
  });

  it('are asked although their entry says that they are cut off, one for a request, if all entries do', () => {
    // Guards against rejecting requests because of registry entries from before the links returned.
    known = known.map((each) => ({ ...each, ...CUT }));
    expect([choose(), choose([], ['near'])]).toEqual(['near', undefined]);
  });

  it('are named by a peer that could not serve a request itself', () => {
    // Guards against trying hundreds of peers while nearly all instances are cut off.
    known = Array.from({ length: 300 }, (_, i) => entry(`i-${i}`, 'north-a'));
    peers.recordServing(instanceId('i-217'));
    expect([choose(), choose([], ['i-0'])]).toEqual(['i-0', 'i-217']);
    now = 1000;
    expect([peers.servingPeer, choose([], ['i-0'])]).toEqual([undefined, 'i-1']);
  });

  it('are at most four for one request', () => {
    known = Array.from({ length: 9 }, (_, i) => entry(`i-${i}`, 'north-a'));
    expect(choose([], ['i-0', 'i-1', 'i-2', 'i-3'])).toBeUndefined();
  });
});

describe('the directory', () => {
  const QUERY = { failureDomain: 'north-a', region: 'north' };

  it('leaves out instances that reach no target', () => {
    expect(nearestInstances(known, QUERY)).toEqual(['near:1']);
  });

  it('names the nearest instances if none reaches a target', () => {
    // Guards against an empty directory when all targets are down.
    known = known.map((each) => ({ ...each, ...CUT }));
    expect(nearestInstances(known, QUERY)).toEqual(['self:1', 'near-cut:1']);
  });
});

describe('the header of a forwarded request', () => {
  it('carries what is counted once', () => {
    const forwarded = {
      to: instanceId('near'),
      caller: '10.0.0.1',
      customer: 'höfn / 港',
      waitedBeforeMs: 120,
      attempts: 2,
    };
    const text = encodeForwarded(forwarded);
    expect(text).toMatch(/^[\x21-\x7e]+$/);
    expect(decodeForwarded(text).unwrapOr(undefined)).toEqual(forwarded);
  });

  it('is rejected with a reason if it is malformed', () => {
    expect(decodeForwarded('{}').isErr()).toBe(true);
    expect(decodeForwarded('%').isErr()).toBe(true);
  });
});
