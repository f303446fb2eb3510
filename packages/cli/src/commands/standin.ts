/** `cardamomladder standin platform|target`: runs stand-ins for the platform or for targets. */
import { createMemberClient, createMemberListStandin } from '@cardamomladder/member-list';
import { startPlatformStandin } from '@cardamomladder/platform-kv';
import type { TargetStandin } from '@cardamomladder/targets';
import { startTargetStandin } from '@cardamomladder/targets';
import { enableLogs } from '@cardamomladder/telemetry';

const waitForTerminationSignal = () =>
  new Promise<void>((resolve) => {
    process.once('SIGTERM', resolve);
    process.once('SIGINT', resolve);
  });

/** Runs the platform stand-in (KV and member list) until SIGTERM or SIGINT. */
export const platformCommand = async (options: {
  host: string;
  port: number;
  memberLagMs: number;
}): Promise<number> => {
  enableLogs(process.env.DEBUG ?? 'cardamomladder:*,-cardamomladder:trace');
  const members = createMemberListStandin(options.memberLagMs);
  const platform = await startPlatformStandin({
    host: options.host,
    port: options.port,
    handlers: [members.handle],
  });
  console.log(JSON.stringify({ url: platform.url }));
  await waitForTerminationSignal();
  members.stop();
  await platform.stop();
  return 0;
};

/** Options of `standin target`. */
export interface TargetCommandOptions {
  platform: string;
  service: string;
  region: string;
  failureDomain: string;
  count: number;
  slots: number;
  serviceMs: number;
  answerBytes: number;
  host: string;
}

/** Runs `count` target stand-ins until SIGTERM or SIGINT, then drains them and prints the drain times. */
export const targetCommand = async (options: TargetCommandOptions): Promise<number> => {
  enableLogs(process.env.DEBUG ?? 'cardamomladder:*,-cardamomladder:trace');
  const members = createMemberClient(options.platform);
  const targets: TargetStandin[] = [];
  for (let i = 0; i < options.count; i += 1) {
    targets.push(
      await startTargetStandin({
        id: `${options.service}-${options.failureDomain}-${i}`,
        service: options.service,
        region: options.region,
        failureDomain: options.failureDomain,
        slots: options.slots,
        serviceMs: options.serviceMs,
        answerBytes: options.answerBytes,
        host: options.host,
        members,
      }),
    );
  }
  console.log(JSON.stringify({ targets: targets.map((t) => ({ id: t.id, address: t.address })) }));
  await waitForTerminationSignal();
  const drainTimes = await Promise.all(targets.map((t) => t.stop()));
  console.log(JSON.stringify({ drainMs: drainTimes }));
  return 0;
};
