import neostandard, { resolveIgnoresFromGitignore } from 'neostandard'

export default [
  ...neostandard({ ts: true, ignores: [...resolveIgnoresFromGitignore(), '**/gen/**', 'journal/**'] }),
  {
    files: ['packages/*/src/**/*.ts', 'platform/src/**/*.ts'],
    ignores: ['**/__tests__/**'],
    rules: {
      'max-lines': ['error', { max: 400, skipBlankLines: true, skipComments: true }],
      '@typescript-eslint/consistent-type-imports': 'error'
    }
  },
  {
    files: ['packages/bendfall-core/src/**/*.ts', 'packages/bendfall-router/src/**/*.ts'],
    ignores: ['**/__tests__/**'],
    rules: {
      'no-restricted-globals': ['error', 'process', 'setTimeout', 'setInterval', 'setImmediate', 'performance', 'fetch'],
      'no-restricted-properties': ['error', { object: 'Date', property: 'now' }, { object: 'Math', property: 'random' }],
      'no-restricted-imports': ['error', { patterns: ['node:*', 'fs', 'http', 'net'] }]
    }
  }
]
