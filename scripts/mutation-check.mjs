// Breaks each mechanism on purpose, in a scratch copy, and sees whether its proof goes red.
// Usage: node scripts/mutation-check.mjs [part of a name or promise]
import {
	cp, mkdtemp, readFile, rm, symlink, writeFile,
} from 'node:fs/promises';
import {spawnSync} from 'node:child_process';
import {tmpdir} from 'node:os';
import path from 'node:path';
import process from 'node:process';
import {fileURLToPath} from 'node:url';

const root = fileURLToPath(new URL('..', import.meta.url));
const mutations = JSON.parse(await readFile(path.join(root, 'scripts/mutations.json'), 'utf8'));
const wanted = mutations.filter(({name, promise}) => `${promise}: ${name}`.includes(process.argv[2] ?? ''));
const copy = await mkdtemp(path.join(tmpdir(), 'deckwheel-mutation-'));
const isCopied = source => !/(^|\/)(node_modules|\.git)$/.test(source);
await cp(root, copy, {recursive: true, filter: isCopied});
await symlink(path.join(root, 'node_modules'), path.join(copy, 'node_modules'));

// The linked packages lead to the originals; the copy's own packages must be found first.
const run = arguments_ => spawnSync('npx', arguments_, {cwd: copy, encoding: 'utf8'});

let survivors = 0;
for (const {name, promise, file, find, replace, test} of wanted) {
	const target = path.join(copy, file);
	const text = await readFile(target, 'utf8');
	if (!text.includes(find)) {
		console.log(`STALE     ${promise}: ${name}`);
		survivors++;
		continue;
	}

	await writeFile(target, text.replace(find, replace));
	const build = run(['tsc', '-b', file.slice(0, file.indexOf('/src/'))]);
	const result = run(['ava', test]);
	await writeFile(target, text);
	const isRed = result.status !== 0;
	survivors += isRed ? 0 : 1;
	console.log(`${isRed ? 'red      ' : 'SURVIVED '} ${promise}: ${name}${build.status === 0 ? '' : ' (did not compile)'}`);
}

await rm(copy, {recursive: true});
console.log(`${wanted.length - survivors} of ${wanted.length} went red`);
process.exitCode = survivors === 0 ? 0 : 1;
