/**
 * Runs a whole deployment in this process on the loopback interface: the
 * platform stand-in, target stand-ins for a layout, and entry daemons. Used by
 * the demo and by tests; the daemon itself never starts other processes.
 */
import type { Result } from 'neverthrow';
import type { Failure } from '@cardamomladder/types';
import type { Entry } from '@cardamomladder/entry';
import { startEntry } from '@cardamomladder/entry';
import type { Document, Layout } from '@cardamomladder/document';
import { documentForLayout, failureDomainOfTarget } from '@cardamomladder/document';
import { applyDocument } from '@cardamomladder/console';
import type { MemberListStandin } from '@cardamomladder/member-list';
import { createMemberClient, createMemberListStandin } from '@cardamomladder/member-list';
import type { KvClient, PlatformStandin } from '@cardamomladder/platform-kv';
import { createKvClient, startPlatformStandin } from '@cardamomladder/platform-kv';
import { validateEntrySettings } from '@cardamomladder/settings';
import type { TargetStandin } from '@cardamomladder/targets';
import { startTargetStandin } from '@cardamomladder/targets';

/** A deployment running in this process. */
export interface Cluster {
  platform: PlatformStandin;
  members: MemberListStandin;
  kv: KvClient;
  targets: Map<string, TargetStandin[]>;
  entries: Entry[];
  document: Document;
  stop: () => Promise<void>;
}

/** Options for `startCluster`. */
export interface ClusterOptions {
  layout: Layout;
  /** Entry instances per failure domain. */
  entriesPerDomain?: number;
  memberLagMs?: number;
  /** Factor for the processing time of every target; 1 keeps the layout's value. */
  serviceScale?: number;
  /** Time over which a response is streamed, in ms, per service (long downloads). */
  streamMs?: Record<string, number>;
}

const unwrap = <T>(result: Result<T, Failure>): T => {
  if (result.isErr()) throw result.error;
  return result.value;
};

/** Starts platform, targets and entries for `layout`, applies its document and waits for the entries to be ready. */
export const startCluster = async (options: ClusterOptions): Promise<Cluster> => {
  const { layout } = options;
  const members = createMemberListStandin(options.memberLagMs ?? 500);
  const platform = await startPlatformStandin({ handlers: [members.handle] });
  const kv = createKvClient({ url: platform.url });
  const memberClient = createMemberClient(platform.url);
  const targets = new Map<string, TargetStandin[]>();
  for (const service of layout.services) {
    const started = await Promise.all(
      Array.from({ length: service.targets }, (_, i) => {
        const location = failureDomainOfTarget(layout, i);
        return startTargetStandin({
          id: `${service.name}-${location.failureDomain}-${i}`,
          service: service.name,
          region: location.region,
          failureDomain: location.failureDomain,
          slots: service.slots,
          serviceMs: service.serviceMs * (options.serviceScale ?? 1),
          answerBytes: service.answerBytes,
          streamMs: options.streamMs?.[service.name],
          members: memberClient,
        });
      }),
    );
    targets.set(service.name, started);
  }
  const applied = await applyDocument(kv, documentForLayout(layout, 0));
  const { revision } = unwrap(applied);
  const entries: Entry[] = [];
  for (const region of layout.regions) {
    for (const failureDomain of region.failureDomains) {
      for (let n = 0; n < (options.entriesPerDomain ?? 1); n += 1) {
        const settings = unwrap(
          validateEntrySettings({
            id: `entry-${failureDomain}-${n}`,
            region: region.name,
            failureDomain,
            platform: { url: platform.url, watchWaitMs: 10_000 },
            membersPollMs: 500,
            tickMs: 100,
          }),
        );
        entries.push(await startEntry(settings));
      }
    }
  }
  const documents = await Promise.all(entries.map((e) => e.ready()));
  // The member list is published with a delay: wait, up to 10 s, until every
  // entry knows every target.
  const total = layout.services.reduce((s, svc) => s + svc.targets, 0);
  const deadline = Date.now() + 10_000;
  while (Date.now() < deadline) {
    const targetCounts = entries.map((e) =>
      [...e.fleet.services.values()].reduce((s, svc) => s + svc.targets.size, 0),
    );
    if (targetCounts.every((n) => n === total)) break;
    await new Promise((resolve) => {
      setTimeout(resolve, 100);
    });
  }
  const stop = async () => {
    await Promise.all(entries.map((e) => e.stop()));
    await Promise.all([...targets.values()].flat().map((t) => t.stop()));
    members.stop();
    await platform.stop();
  };
  return {
    platform,
    members,
    kv,
    targets,
    entries,
    document: documents.find((d) => d.revision === revision) ?? documents[0],
    stop,
  };
};
