/** Writes what was sent, answered and run to record.txt, one line each, with the time since the start in s. */
import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';

const MS_PER_SECOND = 1000;

/** Creates the record of a case in `folder`. */
export const createRecord = (folder) => {
  const startedAt = performance.now();
  const lines = [];
  const secondsOf = (at) => ((at - startedAt) / MS_PER_SECOND).toFixed(3);
  return {
    add: (text, at = performance.now()) => lines.push({ at, text }),
    save: () => {
      const sorted = [...lines].sort((a, b) => a.at - b.at);
      const text = sorted.map(({ at, text: what }) => `${secondsOf(at).padStart(8)}  ${what}\n`);
      return writeFile(join(folder, 'record.txt'), text.join(''));
    },
  };
};

/** Runs a case: exit code 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. */
export const runCase = async (folder, play) => {
  const record = createRecord(folder);
  const withTrouble = process.env.TROUBLE !== '0';
  const cleanUps = [];
  const finish = async (code) => {
    for (const end of cleanUps.splice(0).reverse()) await end();
    await record.save();
    process.exit(code);
  };
  ['SIGINT', 'SIGTERM', 'SIGHUP'].forEach((signal) =>
    process.once(signal, () => {
      record.add(`ended by ${signal}`);
      finish(2);
    }),
  );
  let code = 2;
  try {
    const broken = await play({ record, withTrouble, onEnd: (end) => cleanUps.push(end) });
    code = broken.length > 0 ? 1 : 0;
    record.add(`disruption: ${withTrouble ? 'yes' : 'no'}`);
    broken.forEach((text) => record.add(`BROKEN ${text}`));
    record.add(code === 1 ? `the rule was broken ${broken.length} times` : 'the rule held');
    console.log(code === 1 ? `broken ${broken.length} times` : 'held');
    broken.slice(0, 5).forEach((text) => console.log(text));
  } catch (error) {
    record.add(`could not run: ${error.stack}`);
    console.error(error);
  }
  await finish(code);
};
