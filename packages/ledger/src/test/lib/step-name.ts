/** The kinds of steps in the world of the test. */
export type StepName =
	| 'breakLink'
	| 'claim'
	| 'deliver'
	| 'die'
	| 'draw'
	| 'finishWrite'
	| 'giveBack'
	| 'learnPair'
	| 'propose'
	| 'receive'
	| 'restart'
	| 'resync'
	| 'settle'
	| 'want';
