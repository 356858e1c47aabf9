/** The adapter of the users' platform puts the parts together; no part knows it. */
const adapter = ['@bronzebend/platform', '**/platform/**'];
/** Which packages and folders may import which, beside XO's own rules. */
const forbid = (...patterns) => ({'no-restricted-imports': ['error', {patterns: [...adapter, ...patterns].map(group => ({group: [group], message: 'See docs/ARCHITECTURE.md for which part may import which.'}))}]});

export default [
	{
		rules: {
			// House style: customary short names, array methods, undefined and null as the libraries have them.
			'unicorn/prevent-abbreviations': 'off',
			'unicorn/no-array-reduce': 'off',
			'unicorn/no-null': 'off',
			'unicorn/no-process-exit': 'off',
			'unicorn/prefer-event-target': 'off',
			// Aggregates have a find of their own, which these take for an array's.
			'unicorn/no-array-callback-reference': 'off',
			'unicorn/no-array-method-this-argument': 'off',
			// Timers and sockets start work that nobody awaits; its failures are handled with catch.
			'promise/prefer-await-to-then': 'off',
			'@typescript-eslint/no-restricted-types': 'off',
			'@typescript-eslint/naming-convention': 'off',
			// Members are grouped by what they are for.
			'@typescript-eslint/member-ordering': 'off',
			'@typescript-eslint/switch-exhaustiveness-check': ['error', {considerDefaultExhaustiveForUnions: true, allowDefaultCaseForExhaustiveSwitch: true, requireDefaultForNonUnion: true}],
			'max-params': ['error', 5],
		},
	},
	{files: ['packages/core/src/**/*.ts'], rules: forbid('@bronzebend/*', 'node:net', 'node:http', 'node:fs', 'node:fs/*')},
	{files: ['packages/wire/src/**/*.ts'], rules: forbid('@bronzebend/replica', '@bronzebend/daemon', '@bronzebend/cli')},
	{files: ['packages/replica/src/**/*.ts'], rules: forbid('@bronzebend/daemon', '@bronzebend/cli')},
	{files: ['packages/daemon/src/**/*.ts'], rules: forbid('@bronzebend/cli')},
	{files: ['packages/daemon/src/leader/**/*.ts'], rules: forbid('@bronzebend/cli', '@bronzebend/replica', 'node:*', '**/keeper/*', '**/entry/*', '**/dispatch/*', '**/operators/*')},
	{files: ['packages/daemon/src/entry/**/*.ts'], rules: forbid('@bronzebend/cli', '@bronzebend/replica', '**/keeper/*', '**/dispatch/*', '**/operators/*')},
	{files: ['packages/daemon/src/dispatch/**/*.ts'], rules: forbid('@bronzebend/cli', '@bronzebend/replica', '**/keeper/*', '**/entry/*', '**/operators/*')},
	{files: ['packages/daemon/src/jobs/**/*.ts'], rules: forbid('@bronzebend/cli', '**/entry/*', '**/dispatch/*', '**/operators/*')},
	{files: ['packages/daemon/src/node/**/*.ts'], rules: forbid('@bronzebend/cli', '@bronzebend/replica', '**/keeper/*', '**/entry/*', '**/dispatch/*', '**/operators/*')},
	{files: ['packages/cli/src/**/*.ts', 'utils/**/*.ts'], rules: forbid()},
	// The test runner collects what describe and it return; steps of tests and scripts follow one another.
	{files: ['tests/**/*.ts'], rules: {'@typescript-eslint/no-floating-promises': 'off', 'no-await-in-loop': 'off', '@stylistic/max-len': 'off'}},
	{files: ['utils/**/*.ts'], rules: {'no-await-in-loop': 'off', '@stylistic/max-len': 'off'}},
	// Plain scripts belong to no project of their own. The parser keeps the project service of the first file it reads, so all files name the scripts.
	{files: ['**/*.ts', '*.js', 'examples/*.js'], languageOptions: {parserOptions: {project: false, projectService: {allowDefaultProject: ['*.js', 'examples/*.js']}}}},
	{ignores: ['**/lib/**']},
];
