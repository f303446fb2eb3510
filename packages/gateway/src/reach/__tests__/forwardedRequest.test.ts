import { instanceId, serviceName } from '@cardamomladder/types';
import { describe, expect, it } from 'vitest';
import { countedServiceOf, decodeForwarded, encodeForwarded } from '../forwardedRequest';

const forwarded = { to: instanceId('i-2'), caller: '127.0.0.1', waitedBeforeMs: 0, attempts: 2 };
const [desk, vault] = ['desk', 'vault'].map(serviceName);
const destinations = [
  { service: desk, weight: 1 },
  { service: vault, weight: 1 },
];

describe('the service of a forwarded request', () => {
  it('is the one that the forwarding instance counted it for', () => {
    // Guards against requests that are counted for one service and repeated at another.
    const decoded = decodeForwarded(encodeForwarded({ ...forwarded, service: vault }));
    const counted = decoded.map((each) => countedServiceOf(each, { destinations }));
    expect(counted.unwrapOr(undefined)).toBe(vault);
  });

  it('is left to the peer if the header names none of the route', () => {
    // Guards against older instances, older configurations and forged names.
    const decoded = decodeForwarded(encodeForwarded(forwarded));
    const counted = decoded.map((each) => countedServiceOf(each, { destinations }));
    expect(counted.unwrapOr(desk)).toBe(undefined);
    expect(countedServiceOf({ service: serviceName('other') }, { destinations })).toBe(undefined);
  });
});
