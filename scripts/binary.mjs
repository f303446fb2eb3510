// Builds dist/cardamomladder: a copy of the current `node` executable with the
// bundle injected as a Node.js single executable application (SEA).
// Run `npm run build` first. See docs/DESIGN.md, "One binary".
import { execFileSync } from 'node:child_process';
import { copyFileSync, writeFileSync } from 'node:fs';

const blob = 'dist/sea-prep.blob';
writeFileSync(
  'dist/sea-config.json',
  JSON.stringify({
    main: 'dist/cardamomladder.cjs',
    output: blob,
    disableExperimentalSEAWarning: true,
  }),
);
execFileSync(process.execPath, ['--experimental-sea-config', 'dist/sea-config.json'], {
  stdio: 'inherit',
});
copyFileSync(process.execPath, 'dist/cardamomladder');
execFileSync(
  process.execPath,
  [
    'node_modules/postject/dist/cli.js',
    'dist/cardamomladder',
    'NODE_SEA_BLOB',
    blob,
    '--sentinel-fuse',
    'NODE_SEA_FUSE_fce680ab2cc467b6e072b8b5df1996b2',
  ],
  { stdio: 'inherit' },
);
