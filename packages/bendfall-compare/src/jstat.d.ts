/** Types for the used part of the library, which ships without type declarations. */
declare module 'jstat' {
  const jstat: {
    readonly studentt: { readonly inv: (probability: number, degreesOfFreedom: number) => number }
  }
  export default jstat
}
