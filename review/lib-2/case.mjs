/** Runs a case: writes its record, ends all processes, and sets the exit code. */
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';

const LIMIT_MS = 110_000;

export const HOST = 'kiosk.example';
/** False when the same is to run without the disruption. */
export const TROUBLE = process.env.TROUBLE !== '0';

/** A route of the configuration. */
export const route = (name, kind, service, more = {}) => ({
  Name: name,
  Host: HOST,
  PathPrefix: `/${name}/`,
  Kind: kind,
  TimeoutMs: 4000,
  TargetLatencyMs: 600,
  Priority: 1,
  Service: service,
  MaxAttempts: 2,
  Sticky: false,
  AllowedRegions: [],
  ...more,
});

/** The configuration of a small deployment, with the limits of the site file's. */
export const configuration = (routes, services) => ({
  Version: 'r7',
  Routes: routes,
  Services: services.map((name) => ({
    Name: name,
    HealthPath: '/health',
    MaxConns: 360,
    ColdStartS: 3,
    ColdPerS: 2.6,
  })),
  Limits: {
    MaxHeaderBytes: 16_384,
    MaxBodyBytes: 67_108_864,
    HeaderTimeoutMs: 3000,
    IdleTimeoutMs: 15_000,
  },
});

/** Notes what was sent and answered, and what the upstreams ran. */
export const noteTraffic = (note, answers, runs) => {
  answers.forEach(({ id, status, closed, sentAt, answeredAt }) => {
    note(`${id} is sent`, sentAt);
    const end = status ? `answered with ${status}` : `without an answer (${closed ?? 'left'})`;
    note(`${id} ends ${end}`, answeredAt);
  });
  runs.forEach(({ id, upstream, bytes, at, endedAt, finished }) => {
    note(`${id} runs at upstream ${upstream} (body of ${bytes} bytes)`, at);
    const end = finished ? 'has run' : 'is broken off';
    if (endedAt !== undefined) note(`${id} ${end} at upstream ${upstream}`, endedAt);
  });
};

/** Runs `play`, which gets a `note` function and a list for what is to be closed, and returns the breaches. */
export const runCase = async (folder, play) => {
  const lines = [];
  const startedAt = performance.now();
  const note = (text, at = performance.now()) => lines.push({ at, text });
  const textOf = ({ at, text }) => {
    const seconds = ((at - startedAt) / 1000).toFixed(3);
    return `${seconds.padStart(8)} s  ${text}`;
  };
  const closing = [];
  let code = 2;
  const limit = new Promise((_, reject) => {
    setTimeout(() => reject(new Error('out of time')), LIMIT_MS).unref();
  });
  const closeAll = async () => {
    for (const close of closing.splice(0).reverse()) await close();
  };
  // No process that was started outlives the case.
  ['uncaughtException', 'unhandledRejection', 'SIGTERM', 'SIGINT'].forEach((event) =>
    process.once(event, async (reason) => {
      console.error(reason);
      await closeAll();
      process.exit(2);
    }),
  );
  note(TROUBLE ? 'with the disruption' : 'without the disruption (TROUBLE=0)');
  try {
    const breaches = await Promise.race([play(note, closing), limit]);
    breaches.forEach((breach) => note(`BROKEN: ${breach}`));
    code = breaches.length > 0 ? 1 : 0;
  } catch (error) {
    note(`could not run: ${error.message}`);
  }
  await closeAll();
  note(`exit ${code}`);
  const sorted = [...lines].sort((one, other) => one.at - other.at).map(textOf);
  await writeFile(join(folder, 'record.txt'), `${sorted.join('\n')}\n`);
  console.log(sorted.slice(-12).join('\n'));
  process.exit(code);
};
