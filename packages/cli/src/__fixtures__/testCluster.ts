/** A cluster with a small layout for tests: two regions with one failure domain each, three services. */
import { afterAll, beforeAll } from 'vitest';
import type { Layout } from '@cardamomladder/document';
import type { Cluster } from '../demo/cluster';
import { startCluster } from '../demo/cluster';

export const tinyLayout: Layout = {
  name: 'tiny',
  regionDelayMs: 0,
  regions: [
    { name: 'north', failureDomains: ['north-a'] },
    { name: 'south', failureDomains: ['south-a'] },
  ],
  services: [
    {
      name: 'lookup',
      idempotent: true,
      targets: 2,
      slots: 4,
      serviceMs: 2,
      answerBytes: 200,
      deadlineMs: 2000,
    },
    {
      name: 'book',
      idempotent: false,
      targets: 2,
      slots: 4,
      serviceMs: 5,
      answerBytes: 100,
      deadlineMs: 2000,
    },
    {
      name: 'bundle',
      idempotent: true,
      targets: 2,
      slots: 2,
      serviceMs: 5,
      answerBytes: 2 * 1024 * 1024,
      deadlineMs: 20_000,
    },
  ],
};

/** Sends one request to an entry and reads the whole response. */
export const sendRequest = async (
  address: string,
  path: string,
  init: { method?: string; body?: string; headers?: Record<string, string> } = {},
): Promise<{
  status: number;
  outcome: string | null;
  error?: string;
  bytes: number;
  retryAfter: string | null;
}> => {
  const response = await fetch(`http://${address}${path}`, {
    method: init.method ?? 'GET',
    body: init.body,
    headers: init.headers,
  });
  const body = Buffer.from(await response.arrayBuffer());
  let error: string | undefined;
  if (response.headers.get('content-type') === 'application/json') {
    error = (JSON.parse(body.toString('utf8')) as { error?: string }).error;
  }
  return {
    status: response.status,
    outcome: response.headers.get('x-outcome'),
    error,
    bytes: body.length,
    retryAfter: response.headers.get('retry-after'),
  };
};

export const sleep = (ms: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Starts a cluster with the tiny layout before a file's tests and stops it after them. */
export const useCluster = (
  options: Omit<Parameters<typeof startCluster>[0], 'layout'>,
): (() => Cluster) => {
  let cluster: Cluster;
  beforeAll(async () => {
    cluster = await startCluster({ layout: tinyLayout, ...options });
  });
  afterAll(() => cluster.stop());
  return () => cluster;
};
